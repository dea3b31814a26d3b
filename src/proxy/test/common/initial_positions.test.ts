import {describe, expect, it} from 'vitest';
import {instanceId} from '../../../base/common/ids';
import {replicaStatus as status} from '../../../services/announcement/test/common/status_fixture';
import {InitialPositions} from '../../common/initial_positions';

const [A, B] = [instanceId('a'), instanceId('b')];

describe('InitialPositions', () => {
  // A caller writes through one proxy and reconnects to another, whose older
  // status of the primary may not include the write.
  it('uses a status that was requested after the session connected', () => {
    const positions = new InitialPositions();
    positions.onPrimary(100, status(1, 5));
    expect(positions.minPosition(101, 2)).toBeUndefined();
    positions.onPrimary(101, status(1, 6));
    expect(positions.minPosition(101, 2)).toEqual({term: 1, offset: 6});
  });

  it('uses the statuses of a read quorum without a primary', () => {
    const positions = new InitialPositions();
    positions.onMember(A, 110, status(1, 9));
    expect(positions.minPosition(101, 2)).toBeUndefined();
    positions.onMember(B, 111, status(1, 7));
    expect(positions.minPosition(101, 2)).toEqual({term: 1, offset: 9});
    positions.onClosed(A);
    expect(positions.minPosition(101, 2)).toBeUndefined();
  });

  it('prefers the log of the higher term to the longer log', () => {
    const positions = new InitialPositions();
    positions.onMember(A, 110, status(1, 90));
    positions.onMember(B, 110, status(2, 80));
    expect(positions.minPosition(101, 2)).toEqual({term: 2, offset: 80});
  });
});

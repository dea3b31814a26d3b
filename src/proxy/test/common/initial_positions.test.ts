import {describe, expect, it} from 'vitest';
import {instanceId} from '../../../base/common/ids';
import {replicaStatus as status} from '../../../services/announcement/test/common/status_fixture';
import {ArrivalPositions} from '../../common/initial_positions';

const [A, B] = [instanceId('a'), instanceId('b')];

describe('the position of a session that brought none', () => {
  // A supervisor signs off through one proxy and moves to another. What that
  // one learned before the arrival may lack the sign-off.
  it('comes from what was asked after it arrived', () => {
    const arrivals = new ArrivalPositions();
    arrivals.onPrimary(100, status(1, 5));
    expect(arrivals.since(101, 2)).toBeUndefined();
    arrivals.onPrimary(101, status(1, 6));
    expect(arrivals.since(101, 2)).toEqual({term: 1, offset: 6});
  });

  it('comes from enough members where there is no primary', () => {
    const arrivals = new ArrivalPositions();
    arrivals.onMember(A, 110, status(1, 9));
    expect(arrivals.since(101, 2)).toBeUndefined();
    arrivals.onMember(B, 111, status(1, 7));
    expect(arrivals.since(101, 2)).toEqual({term: 1, offset: 9});
    arrivals.onClosed(A);
    expect(arrivals.since(101, 2)).toBeUndefined();
  });

  it('takes the newer log, not the longer one', () => {
    const arrivals = new ArrivalPositions();
    arrivals.onMember(A, 110, status(1, 90));
    arrivals.onMember(B, 110, status(2, 80));
    expect(arrivals.since(101, 2)).toEqual({term: 2, offset: 80});
  });
});

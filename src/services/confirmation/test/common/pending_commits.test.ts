import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {instanceId} from '../../../../base/common/ids';
import {Phase, type ServiceRecord} from '../../../../schema/generated/control';
import {TermLease} from '../../../lease/common/term_lease';
import {replicaStatus as status} from '../../../announcement/test/common/status_fixture';
import {PendingCommits} from '../../common/pending_commits';

const R1 = instanceId('r1');

function record(
  term: number,
  phase: Phase,
  termStarts: ServiceRecord['termStarts'] = [],
): ServiceRecord {
  return {
    name: 's',
    term,
    primary: 'a',
    phase,
    members: [],
    termStarts,
    revision: term * 2 + (phase === Phase.PHASE_STEADY ? 1 : 0),
    planned: false,
    cause: '',
    primaryIncarnation: '1',
  };
}

const FIRST = {term: 1, baseOffset: 0, baseTerm: 0};

function setUp() {
  const clock = new ManualClock(1_000);
  const lease = new TermLease(clock);
  const commits = new PendingCommits(lease, 1);
  commits.onServiceRecord(record(1, Phase.PHASE_STEADY, [FIRST]), clock.now());
  lease.extend(1, clock.now(), 500);
  const outcomes: string[] = [];
  const add = (term: number, offset: number) => {
    const position = {term, offset};
    commits.add(position, clock.now() + 400, clock.now(), outcome => {
      outcomes.push(outcome);
    });
  };
  return {clock, lease, commits, outcomes, add};
}

describe('a pending commit', () => {
  // Guards against acknowledging a commit that is lost with its primary.
  it('waits until a replica of the same term has received it', () => {
    const {commits, outcomes, add} = setUp();
    add(1, 10);
    commits.onStatus(R1, status(1, 9));
    commits.onStatus(R1, status(1, 50, {matchedTerm: 0}));
    expect(outcomes).toEqual([]);
    commits.onStatus(R1, status(1, 10));
    expect(outcomes).toEqual(['done']);
  });

  // Guards against a proxy that is disconnected from control and acknowledges
  // writes of a replaced primary.
  it('is not acknowledged after the lease has expired', () => {
    const {clock, lease, commits, outcomes, add} = setUp();
    add(1, 10);
    clock.advance(500);
    commits.onStatus(R1, status(1, 10));
    expect(outcomes).toEqual([]);
    lease.extend(1, clock.now(), 500);
    commits.onLeaseExtended(clock.now());
    expect(outcomes).toEqual(['done']);
  });

  it('is done under the next lease if the next term has it', () => {
    const {clock, lease, commits, outcomes, add} = setUp();
    add(1, 10);
    commits.onServiceRecord(
      record(2, Phase.PHASE_CHANGING, [FIRST]),
      clock.now(),
    );
    const starts = [FIRST, {term: 2, baseOffset: 10, baseTerm: 1}];
    commits.onServiceRecord(record(2, Phase.PHASE_STEADY, starts), clock.now());
    commits.onStatus(R1, status(2, 10));
    expect(outcomes).toEqual([]);
    lease.extend(2, clock.now(), 500);
    commits.onLeaseExtended(clock.now());
    expect(outcomes).toEqual(['done']);
  });

  // Guards against a write that was reported as "not run" and reappears: while
  // only the new primary has the new log, an older log may be restored.
  it('is "not run" only when no older log can be restored', () => {
    const {clock, commits, outcomes, add} = setUp();
    add(1, 10);
    const starts = [FIRST, {term: 2, baseOffset: 9, baseTerm: 1}];
    commits.onServiceRecord(record(2, Phase.PHASE_STEADY, starts), clock.now());
    expect(outcomes).toEqual([]);
    commits.onStatus(R1, status(2, 9));
    expect(outcomes).toEqual(['not run']);
  });

  it('is unknown at its deadline, which is final', () => {
    const {clock, commits, outcomes, add} = setUp();
    add(1, 10);
    clock.advance(400);
    commits.onTick(clock.now());
    commits.onStatus(R1, status(1, 10));
    expect(outcomes).toEqual(['unknown']);
  });
});

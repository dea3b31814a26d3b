import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {
  stopTermOf,
  type StopReason,
} from '../../../promotion/common/stopped_replicas';
import type {MemberStatus} from '../../../target_link/common/member_status';
import {
  verifyPrimary,
  type MemberStatusReply,
} from '../../common/verify_primary';

const at = (term: number) => ({term, offset: 10});

const makeStatus = (overrides: Partial<MemberStatus> = {}): MemberStatus => {
  const term = overrides.term ?? 1;
  const receivedPosition = at(term);
  const receives = {isPrimary: false, stoppedTerm: 0};
  return {...receives, term, receivedPosition, ...overrides};
};

const primaryReply = (instance: string, term: number): MemberStatusReply => {
  return {
    instance,
    status: makeStatus({isPrimary: true, term}),
  };
};

const replicaReply = (instance: string, term: number): MemberStatusReply => {
  return {instance, status: makeStatus({term})};
};

const stoppedReply = (
  instance: string,
  reason: StopReason,
): MemberStatusReply => {
  const stoppedTerm = stopTermOf(reason, 1);
  return {instance, status: makeStatus({stoppedTerm})};
};

const noReply = (instance: string): MemberStatusReply => {
  return {instance, status: undefined};
};

describe('verifyPrimary', () => {
  it('verifies a primary while a replica is stopped since it leaves', () => {
    // Guards against a group that is refused though it is not being promoted.
    const replies = [
      primaryReply('a', 1),
      replicaReply('b', 1),
      stoppedReply('c', 'leaving'),
    ];
    expect(verifyPrimary('a', replies)?.term).toBe(1);
  });

  it('verifies a primary that all others replicate', () => {
    const replies = [
      primaryReply('a', 2),
      replicaReply('b', 2),
      replicaReply('c', 1),
    ];
    expect(verifyPrimary('a', replies)?.term).toBe(2);
  });

  it.each([
    [
      'another member is primary',
      [primaryReply('a', 1), primaryReply('b', 2), replicaReply('c', 1)],
    ],
    ['one is in a newer term', [primaryReply('a', 1), replicaReply('b', 2)]],
    [
      'one does not reply',
      [primaryReply('a', 1), replicaReply('b', 1), noReply('c')],
    ],
    ['it is not primary itself', [replicaReply('a', 1), replicaReply('b', 1)]],
    ['it does not reply itself', [noReply('a'), replicaReply('b', 1)]],
    ['it is the only member', [primaryReply('a', 1)]],
    // Guards against a commit that is acknowledged beside a promotion that has
    // compared the logs without it.
    [
      'the replicas are stopped for a promotion',
      [
        primaryReply('a', 1),
        stoppedReply('b', 'promotion'),
        stoppedReply('c', 'promotion'),
      ],
    ],
    [
      'one is stopped for a promotion and the other one restarted since',
      [
        primaryReply('a', 1),
        stoppedReply('b', 'promotion'),
        replicaReply('c', 1),
      ],
    ],
    [
      'no replica that receives is known',
      [primaryReply('a', 1), stoppedReply('b', 'leaving')],
    ],
  ])('verifies nothing if %s', (...[, replies]) => {
    expect(verifyPrimary('a', replies)).toBeUndefined();
  });
});

/** Members with random promotions that the others learn of late. */
class Members {
  readonly statuses: MemberStatus[] = [0, 1, 2].map(index => {
    return makeStatus({isPrimary: index === 0});
  });
  newest = {primaryIndex: 0, term: 1};

  constructor(private readonly random: SeededRandom) {}

  /** A promotion, or a member learns of the last one. */
  change(): void {
    const {random, statuses, newest} = this;
    const index = random.integer(0, 2);
    if (random.integer(0, 3) === 0) {
      const term = newest.term + 1;
      this.newest = {primaryIndex: index, term};
      const receivedPosition = at(newest.term);
      statuses[index] = makeStatus({isPrimary: true, term, receivedPosition});
    } else if (index !== newest.primaryIndex && random.integer(0, 1) === 0) {
      const {term} = newest;
      statuses[index] = makeStatus({term});
    }
  }
}

it('never verifies a member that was replaced before the round', () => {
  // A proxy is partitioned from control together with an old primary that does
  // not know it was replaced. Promotions happen between the status requests.
  let verifiedCount = 0;
  for (let seed = 1; seed <= 2_000; seed++) {
    const random = new SeededRandom(seed);
    const members = new Members(random);
    for (let step = random.integer(0, 12); step > 0; step--) members.change();
    const newestBefore = members.newest;
    const candidate = random.integer(0, 2);
    const replies: MemberStatusReply[] = [];
    for (const index of [0, 1, 2]) {
      for (let step = random.integer(0, 2); step > 0; step--) members.change();
      replies.push({instance: `${index}`, status: members.statuses[index]});
    }
    const status = verifyPrimary(`${candidate}`, replies);
    if (!status) continue;
    verifiedCount++;
    // A member promoted during the round is verified for its newer term only.
    const wasPrimary =
      candidate === newestBefore.primaryIndex ||
      status.term > newestBefore.term;
    expect(wasPrimary, `seed ${seed}`).toBe(true);
  }
  expect(verifiedCount).toBeGreaterThan(100);
});

import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import type {MemberStatus} from '../../../target_link/common/member_status';
import {
  verifyPrimary,
  type MemberStatusReply,
} from '../../common/verify_primary';

const at = (term: number) => ({term, offset: 10});

const leads = (instance: string, term: number): MemberStatusReply => {
  return {
    instance,
    status: {isPrimary: true, term, receivedPosition: at(term)},
  };
};

const follows = (instance: string, term: number): MemberStatusReply => {
  return {
    instance,
    status: {isPrimary: false, term, receivedPosition: at(term)},
  };
};

const silent = (instance: string): MemberStatusReply => {
  return {instance, status: undefined};
};

describe('the words of the members', () => {
  it('prove a lead that all others follow', () => {
    const words = [leads('a', 2), follows('b', 2), follows('c', 1)];
    expect(verifyPrimary('a', words)?.term).toBe(2);
  });

  it.each([
    ['another member leads', [leads('a', 1), leads('b', 2), follows('c', 1)]],
    ['one follows a newer term', [leads('a', 1), follows('b', 2)]],
    ['one is silent', [leads('a', 1), follows('b', 1), silent('c')]],
    ['it does not lead itself', [follows('a', 1), follows('b', 1)]],
    ['it is silent itself', [silent('a'), follows('b', 1)]],
    ['it is alone', [leads('a', 1)]],
  ])('prove nothing where %s', (...[, words]) => {
    expect(verifyPrimary('a', words)).toBeUndefined();
  });
});

/** Members of which any may be promoted while others hear of it late. */
class Members {
  readonly statuses: MemberStatus[] = [0, 1, 2].map(index => {
    return {isPrimary: index === 0, term: 1, receivedPosition: at(1)};
  });
  newest = {holder: 0, term: 1};

  constructor(private readonly random: SeededRandom) {}

  /** A promotion, or somebody hears of the last one. */
  change(): void {
    const {random, statuses, newest} = this;
    const index = random.integer(0, 2);
    if (random.integer(0, 3) === 0) {
      const term = newest.term + 1;
      this.newest = {holder: index, term};
      statuses[index] = {
        isPrimary: true,
        term,
        receivedPosition: at(newest.term),
      };
    } else if (index !== newest.holder && random.integer(0, 1) === 0) {
      const {term} = newest;
      statuses[index] = {isPrimary: false, term, receivedPosition: at(term)};
    }
  }
}

it('is never proved for a member that was replaced before the round', () => {
  // A proxy is cut off from control together with the old primary, which goes
  // on leading as far as it knows. Questions of a round reach the members one
  // after the other, and promotions come in between.
  let proofs = 0;
  for (let seed = 1; seed <= 2_000; seed++) {
    const random = new SeededRandom(seed);
    const members = new Members(random);
    for (let step = random.integer(0, 12); step > 0; step--) members.change();
    const before = members.newest;
    const asked = random.integer(0, 2);
    const words: MemberStatusReply[] = [];
    for (const index of [0, 1, 2]) {
      for (let step = random.integer(0, 2); step > 0; step--) members.change();
      words.push({instance: `${index}`, status: members.statuses[index]});
    }
    const status = verifyPrimary(`${asked}`, words);
    if (!status) continue;
    proofs++;
    // One that was promoted during the round proves its newer term only.
    const led = asked === before.holder || status.term > before.term;
    expect(led, `seed ${seed}`).toBe(true);
  }
  expect(proofs).toBeGreaterThan(100);
});

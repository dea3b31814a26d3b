import {beforeEach, describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {FakeGroup} from '../../../gateway/test/node/fake_group';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {SHARED_USER} from '../../../target_link/common/target_link';
import {
  PrimaryVerifier,
  type VerifiedPrimary,
} from '../../node/primary_verifier';
import type {PooledConnection} from '../../node/member_pool';

const LEAD = {instance: 'a', epoch: 7};

let clock: ManualClock;
let group: FakeGroup;
let witness: PrimaryVerifier;
let proved: VerifiedPrimary[];
let answers: string[];

/** Links that connect anew for each question. */
async function connectAll(): Promise<Map<string, PooledConnection>> {
  const links = new Map<string, PooledConnection>();
  for (const instance of group.instances) {
    const user = SHARED_USER;
    const address = `${instance}:1`;
    const target = {service: 'books', user, instance, address};
    const link = (await group.connect(target)).unwrapOr(undefined);
    if (!link) continue;
    const known = {values: new Map(), prepared: new Map(), idleSince: 0};
    links.set(instance, {link, instance, user, ...known});
  }
  return links;
}

beforeEach(async () => {
  clock = new ManualClock();
  group = new FakeGroup(['a', 'b', 'c']);
  proved = [];
  answers = [];
  const links = await connectAll();
  witness = new PrimaryVerifier(
    'books',
    group,
    {
      instances: () => group.instances,
      take: instance => links.get(instance),
      giveBack: () => {},
    },
    clock,
    makeLog().log,
    lead => proved.push(lead),
  );
});

function wish(name: string, term = 1): void {
  const settle = (isProved: boolean) => answers.push(`${name} ${isProved}`);
  witness.add({epoch: 7, term, deadline: clock.now() + 500, settle});
}

const answered = () => new Promise(resolve => setTimeout(resolve, 5));

describe('proof by the members', () => {
  it('comes with a round that began after the answer', async () => {
    wish('read');
    witness.tend(LEAD, false);
    await answered();
    expect(answers).toEqual(['read true']);
    expect(proved[0]).toMatchObject({instance: 'a', epoch: 7, askedAt: 0});
  });

  it('is not had for what was answered during the round', async () => {
    // The members answered before the primary was replaced, and a read was
    // answered by the old one after it, while one word was still on its way.
    wish('before');
    witness.tend(LEAD, false);
    wish('during');
    await answered();
    expect(answers).toEqual(['before true']);
  });

  it('is not had for an answer of another term', async () => {
    // A primary was replaced and, a moment later, promoted again. What it
    // answered in between as the old primary missed the other one's commits.
    wish('old', 1);
    group.member('a').position = {term: 3, offset: 20};
    witness.tend(LEAD, false);
    await answered();
    expect(answers).toEqual([]);
    clock.advance(600);
    witness.tend(LEAD, false);
    expect(answers).toEqual(['old false']);
  });

  it('is given up where control names another lead', () => {
    wish('read');
    witness.tend({instance: 'b', epoch: 8}, false);
    expect(answers).toEqual(['read false']);
  });

  it('takes slots of the members ten times a second at most', async () => {
    for (let step = 0; step < 100; step++) {
      wish(`read ${step}`);
      witness.tend(LEAD, true);
      await answered();
      clock.advance(10);
    }
    expect(proved.length).toBeGreaterThan(5);
    expect(proved.length).toBeLessThanOrEqual(10);
  });
});

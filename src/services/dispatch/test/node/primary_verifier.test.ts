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

const PRIMARY = {instance: 'a', epoch: 7};

let clock: ManualClock;
let group: FakeGroup;
let verifier: PrimaryVerifier;
let verified: VerifiedPrimary[];
let results: string[];

async function connectAll(): Promise<Map<string, PooledConnection>> {
  const connections = new Map<string, PooledConnection>();
  for (const instance of group.instances) {
    const user = SHARED_USER;
    const address = `${instance}:1`;
    const target = {service: 'books', user, instance, address};
    const link = (await group.connect(target)).unwrapOr(undefined);
    if (!link) continue;
    const state = {values: new Map(), prepared: new Map(), becameIdleAt: 0};
    connections.set(instance, {link, instance, user, ...state});
  }
  return connections;
}

beforeEach(async () => {
  clock = new ManualClock();
  group = new FakeGroup(['a', 'b', 'c']);
  verified = [];
  results = [];
  const connections = await connectAll();
  verifier = new PrimaryVerifier(
    'books',
    group,
    {
      instances: () => group.instances,
      checkOut: instance => connections.get(instance),
      release: () => {},
    },
    clock,
    makeLog().log,
    primary => verified.push(primary),
  );
});

function request(name: string, term = 1): void {
  const resolve = (isVerified: boolean) =>
    results.push(`${name} ${isVerified}`);
  verifier.add({epoch: 7, term, deadline: clock.now() + 500, resolve});
}

const roundEnds = () => new Promise(resolve => setTimeout(resolve, 5));

describe('PrimaryVerifier', () => {
  it('verifies by a round that began after the reply', async () => {
    request('read');
    verifier.update(PRIMARY, false);
    await roundEnds();
    expect(results).toEqual(['read true']);
    expect(verified[0]).toMatchObject({instance: 'a', epoch: 7, askedAt: 0});
  });

  it('does not verify a reply from during the round', async () => {
    // The old primary may have served a read after the other members replied to
    // the round, and after it was replaced.
    request('before');
    verifier.update(PRIMARY, false);
    request('during');
    await roundEnds();
    expect(results).toEqual(['before true']);
  });

  it('does not verify a reply in another term', async () => {
    // A primary was replaced and promoted again. Its replies in between lack
    // the commits of the other one.
    request('old', 1);
    group.member('a').position = {term: 3, offset: 20};
    verifier.update(PRIMARY, false);
    await roundEnds();
    expect(results).toEqual([]);
    clock.advance(600);
    verifier.update(PRIMARY, false);
    expect(results).toEqual(['old false']);
  });

  it('fails requests when control assigns another primary', () => {
    request('read');
    verifier.update({instance: 'b', epoch: 8}, false);
    expect(results).toEqual(['read false']);
  });

  it('starts at most ten rounds a second', async () => {
    for (let step = 0; step < 100; step++) {
      request(`read ${step}`);
      verifier.update(PRIMARY, true);
      await roundEnds();
      clock.advance(10);
    }
    expect(verified.length).toBeGreaterThan(5);
    expect(verified.length).toBeLessThanOrEqual(10);
  });
});

import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {SeededRandom} from '../../../../base/common/random';
import {PermitReply} from '../../../../schema/generated/account';
import {AccountCounter} from '../../common/account_counter';
import {SHARE_LEASE_MS} from '../../common/permit_counting';
import {encodeDecision} from '../../common/permit_messages';

const ACCOUNT = 'fern';
const LIMIT = {perSecond: 1_000, burst: 1_000};
const ENTRY = {account: ACCOUNT, keyDigests: [], limit: LIMIT};

/** Returns a counter with a share and an empty bucket. */
function makeCounter(perSecond: number, depth: number) {
  const clock = new ManualClock(1_000_000);
  const counter = new AccountCounter(clock);
  counter.setAccounts([ENTRY]);
  const share = {account: ACCOUNT, perSecond, depth, tokens: 0};
  counter.setShares({shares: [share], number: 1});
  counter.extendLease(clock.now());
  /** Advances the clock and extends the lease. */
  const advance = (milliseconds: number) => {
    clock.advance(milliseconds);
    counter.extendLease(clock.now());
  };
  return {clock, counter, advance};
}

/** Requests permits until a request has to wait; returns their number. */
function drain(counter: AccountCounter, wanted = 1): number {
  for (let count = 0; ;) {
    const decision = counter.requestPermits(ACCOUNT, wanted);
    if (decision.kind !== 'granted' || decision.waitMs > 0) return count;
    count += decision.count;
  }
}

describe('a counter', () => {
  it('starts a new share without tokens', () => {
    const {counter, advance} = makeCounter(1, 10);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('refused');
    advance(5_000);
    expect(drain(counter)).toBe(5);
  });

  it('adds no tokens when a share is raised', () => {
    const {counter, advance} = makeCounter(1, 2);
    advance(5_000);
    const raised = {account: ACCOUNT, perSecond: 1, depth: 100, tokens: 0};
    counter.setShares({shares: [raised], number: 2});
    expect(drain(counter)).toBe(2);
  });

  it('does not know accounts without a share or with an empty one', () => {
    const {counter} = makeCounter(0, 0);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
    expect(counter.requestPermits('moss', 1).kind).toBe('unknown account');
  });

  it('returns when a token is available', () => {
    const {counter, advance} = makeCounter(10, 10);
    const first = counter.requestPermits(ACCOUNT, 1);
    expect(first).toMatchObject({kind: 'granted', count: 1, waitMs: 100});
    const second = counter.requestPermits(ACCOUNT, 1);
    expect(second).toMatchObject({kind: 'refused', retryAfterMs: 200});
    advance(200);
    expect(counter.requestPermits(ACCOUNT, 1)).toMatchObject({
      kind: 'granted',
      waitMs: 0,
    });
  });

  it('gives each refused caller a retry time of its own', () => {
    const {clock, counter} = makeCounter(4, 20);
    const times: number[] = [];
    for (let count = 0; count < 8; count++) {
      const decision = counter.requestPermits(ACCOUNT, 1);
      if (decision.kind === 'refused') times.push(decision.retryAfterMs);
    }
    expect(times).toEqual([250, 500, 750, 1_000, 1_250, 1_500, 1_750, 2_000]);
    const startedAt = clock.now();
    for (const retryAfterMs of times) {
      clock.advance(startedAt + retryAfterMs - clock.now());
      expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('granted');
    }
  });

  it('reserves only tokens that are added soon', () => {
    const {counter} = makeCounter(100, 100);
    const decisions = Array.from({length: 50}, () =>
      counter.requestPermits(ACCOUNT, 1),
    );
    const granted = decisions.filter(({kind}) => kind === 'granted');
    expect(granted.length).toBe(15);
  });

  it('grants further permits while many tokens are available', () => {
    const {counter, advance} = makeCounter(10, 40);
    advance(5_000);
    const first = counter.requestPermits(ACCOUNT, 30);
    expect(first).toMatchObject({kind: 'granted', count: 20, validMs: 500});
    expect(counter.requestPermits(ACCOUNT, 30)).toMatchObject({count: 1});
  });

  it('reduces the bucket by the outstanding permits', () => {
    // Guards against a full bucket besides outstanding permits: both would run
    // in one window and exceed the depth of the share.
    const {counter, advance} = makeCounter(1_000, 40);
    advance(5_000);
    const first = counter.requestPermits(ACCOUNT, 19);
    expect(first).toMatchObject({kind: 'granted', count: 19});
    advance(400);
    expect(drain(counter)).toBe(40 - 18);
    advance(5_000);
    expect(drain(counter)).toBe(40);
  });

  it('grants nothing after its lease expired', () => {
    // Guards against shares that control grants to other counters.
    const {clock, counter} = makeCounter(10, 10);
    clock.advance(SHARE_LEASE_MS - 1);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('granted');
    clock.advance(1);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
    counter.extendLease(clock.now() - 100);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('granted');
  });

  it('drops its shares some time after the lease expired', () => {
    // Guards against shares that return to use with the next lease though
    // control granted them to other counters.
    const {clock, counter} = makeCounter(10, 10);
    clock.advance(SHARE_LEASE_MS + 600);
    expect(counter.shareListNumber).toBe(0);
    counter.extendLease(clock.now());
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
  });

  it('reports no shares to a leader after its lease expired', () => {
    // Guards against shares that the leader would take as held, though it
    // granted them to other counters.
    const {clock, counter} = makeCounter(10, 10);
    const share = {account: ACCOUNT, perSecond: 10, depth: 10, tokens: 0};
    expect(counter.heldShares).toEqual([share]);
    clock.advance(SHARE_LEASE_MS);
    expect(counter.heldShares).toEqual([]);
    counter.extendLease(clock.now());
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
  });

  it('ignores a list of changes after it dropped its shares', () => {
    // Guards against refusals of all accounts that a late list does not name.
    const {clock, counter} = makeCounter(10, 10);
    clock.advance(SHARE_LEASE_MS + 600);
    counter.setShares({shares: [], number: 2});
    expect(counter.shareListNumber).toBe(0);
    counter.setShares({shares: [], number: 1});
    expect(counter.shareListNumber).toBe(1);
  });

  it('keeps its shares for another leader, whose lists start from 1', () => {
    // Guards against refusals until the next leader of control sends shares.
    const {counter} = makeCounter(10, 10);
    expect(counter.shareListNumber).toBe(1);
    counter.onDidDetach();
    expect(counter.shareListNumber).toBe(0);
    expect(counter.heldShares.length).toBe(1);
  });

  it('takes back permits that it granted recently', () => {
    const {counter, advance} = makeCounter(1, 10);
    advance(5_000);
    expect(drain(counter)).toBe(5);
    counter.returnPermits(ACCOUNT, 2);
    expect(drain(counter)).toBe(2);
    advance(2_000);
    expect(drain(counter)).toBe(2);
    counter.returnPermits(ACCOUNT, 10);
    expect(drain(counter)).toBe(2);
  });

  it('reports what it granted and refused, once', () => {
    const {counter, advance} = makeCounter(1, 10);
    advance(2_000);
    drain(counter);
    counter.returnPermits(ACCOUNT, 1);
    const use = {account: ACCOUNT, run: 1, refused: 2};
    expect(counter.takeReport()).toEqual([use]);
    expect(counter.takeReport()).toEqual([]);
  });

  it('drops the share of an account that lost its limit', () => {
    const {counter, advance} = makeCounter(10, 10);
    advance(1_000);
    counter.setAccounts([{...ENTRY, limit: undefined}]);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
  });
});

it('has an idle time of 0 while an operation waits for its token', () => {
  // Guards against a negative idle time, which cannot be encoded and ended the
  // process when the counter attached to a new leader.
  const {clock, counter, advance} = makeCounter(10, 1);
  advance(60);
  expect(counter.requestPermits(ACCOUNT, 1)).toMatchObject({
    kind: 'granted',
    waitMs: 40,
  });
  expect(counter.idleMs).toBe(0);
  clock.advance(140);
  expect(counter.idleMs).toBe(100);
  clock.advance(2 ** 33);
  expect(counter.idleMs).toBe(60_000);
});

/** Returns a random share, which may be too small to run anything. */
function anyShare(random: SeededRandom) {
  const perSecond = random.pick([0, 0.001, 0.3, 1, 70]);
  const depth = random.pick([0, 0.5, 1, 3.8, 30]);
  return {account: ACCOUNT, perSecond, depth, tokens: 0};
}

it('answers with times that can be encoded', () => {
  // Guards against a negative retry time when a share shrinks in a flood, which
  // cannot be encoded and ended the process of the counter.
  for (let seed = 1; seed <= 300; seed++) {
    const random = new SeededRandom(seed);
    const {clock, counter} = makeCounter(1, 1);
    for (let step = 0, number = 1; step < 200; step++) {
      clock.advance(random.integer(0, 300) / random.pick([1, 7]));
      counter.extendLease(clock.now());
      const action = random.integer(0, 7);
      if (action === 0) {
        counter.setShares({shares: [anyShare(random)], number: ++number});
      }
      if (action === 1) counter.returnPermits(ACCOUNT, random.integer(1, 3));
      const decision = counter.requestPermits(ACCOUNT, random.integer(1, 20));
      const reply = encodeDecision(1, decision);
      expect(() => PermitReply.encode(reply).finish()).not.toThrow();
    }
  }
});

describe('a counter whose time of day is set forward', () => {
  // The clock of its lease counts the step as a suspension.
  function makeSteppedCounter() {
    const leaseClock = new ManualClock(1_000_000);
    const tokenClock = new ManualClock(1_000_000);
    const counter = new AccountCounter(leaseClock, SHARE_LEASE_MS, tokenClock);
    counter.setAccounts([ENTRY]);
    const share = {account: ACCOUNT, perSecond: 10, depth: 10, tokens: 0};
    counter.setShares({shares: [share], number: 1});
    return {counter, leaseClock};
  }

  it('gets no tokens for it', () => {
    // Guards against an account that exceeds its limit by a bucket a step.
    const {counter, leaseClock} = makeSteppedCounter();
    leaseClock.advance(2_000);
    counter.extendLease(leaseClock.now());
    expect(drain(counter)).toBe(0);
  });

  it('was not idle for that time', () => {
    // Guards against initial tokens for a time that did not pass.
    const {counter, leaseClock} = makeSteppedCounter();
    leaseClock.advance(2_000);
    expect(counter.idleMs).toBe(0);
  });
});

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

/** A counter with a share, at a time when its bucket is still empty. */
function makeCounter(perSecond: number, depth: number) {
  const clock = new ManualClock(1_000_000);
  const counter = new AccountCounter(clock);
  counter.setAccounts([ENTRY]);
  const share = {account: ACCOUNT, perSecond, depth, tokens: 0};
  counter.setShares({shares: [share], number: 1});
  counter.extendLease(clock.now());
  /** Time passes while control confirms the lease. */
  const pass = (milliseconds: number) => {
    clock.advance(milliseconds);
    counter.extendLease(clock.now());
  };
  return {clock, counter, pass};
}

/** Asks until nothing is granted at once; how many operations were. */
function drain(counter: AccountCounter, wanted = 1): number {
  for (let count = 0; ;) {
    const decision = counter.requestPermits(ACCOUNT, wanted);
    if (decision.kind !== 'granted' || decision.waitMs > 0) return count;
    count += decision.count;
  }
}

describe('a counter', () => {
  it('has no tokens for a new share', () => {
    const {counter, pass} = makeCounter(1, 10);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('refused');
    pass(5_000);
    expect(drain(counter)).toBe(5);
  });

  it('has no tokens for a raised share', () => {
    const {counter, pass} = makeCounter(1, 2);
    pass(5_000);
    const raised = {account: ACCOUNT, perSecond: 1, depth: 100, tokens: 0};
    counter.setShares({shares: [raised], number: 2});
    expect(drain(counter)).toBe(2);
  });

  it('knows no account without a share, or with none that runs anything', () => {
    const {counter} = makeCounter(0, 0);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
    expect(counter.requestPermits('moss', 1).kind).toBe('unknown account');
  });

  it('tells an account when it has room again', () => {
    // At 10/s a token comes each 100 ms. What comes soon is waited for.
    const {counter, pass} = makeCounter(10, 10);
    const first = counter.requestPermits(ACCOUNT, 1);
    expect(first).toMatchObject({kind: 'granted', count: 1, waitMs: 100});
    const second = counter.requestPermits(ACCOUNT, 1);
    expect(second).toMatchObject({kind: 'refused', retryAfterMs: 200});
    pass(200);
    expect(counter.requestPermits(ACCOUNT, 1)).toMatchObject({
      kind: 'granted',
      waitMs: 0,
    });
  });

  it('tells each one that it refuses of a token of its own', () => {
    const {clock, counter} = makeCounter(4, 20);
    const times: number[] = [];
    for (let count = 0; count < 8; count++) {
      const decision = counter.requestPermits(ACCOUNT, 1);
      if (decision.kind === 'refused') times.push(decision.retryAfterMs);
    }
    expect(times).toEqual([250, 500, 750, 1_000, 1_250, 1_500, 1_750, 2_000]);
    const startedAt = clock.now();
    for (const time of times) {
      clock.advance(startedAt + time - clock.now());
      expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('granted');
    }
  });

  it('reserves no more than what comes soon', () => {
    const {counter} = makeCounter(100, 100);
    const asked = Array.from({length: 50}, () =>
      counter.requestPermits(ACCOUNT, 1),
    );
    const granted = asked.filter(({kind}) => kind === 'granted');
    expect(granted.length).toBe(15);
  });

  it('gives permits beyond the first while plenty of tokens wait', () => {
    const {counter, pass} = makeCounter(10, 40);
    pass(5_000);
    const first = counter.requestPermits(ACCOUNT, 30);
    expect(first).toMatchObject({kind: 'granted', count: 20, validMs: 500});
    expect(counter.requestPermits(ACCOUNT, 30)).toMatchObject({count: 1});
  });

  it('leaves room in the bucket for the permits that are out', () => {
    // Permits are out for up to half a second. If the bucket filled up
    // meanwhile, both would run in one span: beyond the depth of the share.
    const {counter, pass} = makeCounter(1_000, 40);
    pass(5_000);
    const first = counter.requestPermits(ACCOUNT, 19);
    expect(first).toMatchObject({kind: 'granted', count: 19});
    pass(400);
    expect(drain(counter)).toBe(40 - 18);
    pass(5_000);
    expect(drain(counter)).toBe(40);
  });

  it('grants nothing once its lease is over', () => {
    // Cut off from control, whose other counters get its shares after the
    // lease.
    const {clock, counter} = makeCounter(10, 10);
    clock.advance(SHARE_LEASE_MS - 1);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('granted');
    clock.advance(1);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
    counter.extendLease(clock.now() - 100);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('granted');
  });

  it('drops its shares where the lease was over for long', () => {
    // Control was lost for longer than the lease, and has given this counter's
    // shares to others since. Were they in force again with the next lease,
    // the account would run beyond its limit.
    const {clock, counter} = makeCounter(10, 10);
    clock.advance(SHARE_LEASE_MS + 600);
    expect(counter.shareListNumber).toBe(0);
    counter.extendLease(clock.now());
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
  });

  it('names no shares to a leader after its lease', () => {
    // The lease is over, and the counter comes to a leader with what it had.
    // That leader may have given the same to others; named, it would be in use
    // twice once the next lease is there.
    const {clock, counter} = makeCounter(10, 10);
    const share = {account: ACCOUNT, perSecond: 10, depth: 10, tokens: 0};
    expect(counter.heldShares).toEqual([share]);
    clock.advance(SHARE_LEASE_MS);
    expect(counter.heldShares).toEqual([]);
    counter.extendLease(clock.now());
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
  });

  it('takes no list of changes after it dropped its shares', () => {
    // A list of changes was under way when the counter dropped its shares. Kept
    // to, it would stand for the whole, and callers of all accounts that did
    // not change would be refused.
    const {clock, counter} = makeCounter(10, 10);
    clock.advance(SHARE_LEASE_MS + 600);
    counter.setShares({shares: [], number: 2});
    expect(counter.shareListNumber).toBe(0);
    counter.setShares({shares: [], number: 1});
    expect(counter.shareListNumber).toBe(1);
  });

  it('keeps its shares and counts lists anew for another leader', () => {
    // The leader of control changes. Were the shares gone with it, callers
    // would be refused until the next leader hands them out.
    const {counter} = makeCounter(10, 10);
    expect(counter.shareListNumber).toBe(1);
    counter.onDidDetach();
    expect(counter.shareListNumber).toBe(0);
    expect(counter.heldShares.length).toBe(1);
  });

  it('takes back what did not run, as much as was granted of late', () => {
    const {counter, pass} = makeCounter(1, 10);
    pass(5_000);
    expect(drain(counter)).toBe(5);
    counter.returnPermits(ACCOUNT, 2);
    expect(drain(counter)).toBe(2);
    pass(2_000);
    expect(drain(counter)).toBe(2);
    counter.returnPermits(ACCOUNT, 10);
    expect(drain(counter)).toBe(2);
  });

  it('reports what it granted and refused, once', () => {
    const {counter, pass} = makeCounter(1, 10);
    pass(2_000);
    drain(counter);
    counter.returnPermits(ACCOUNT, 1);
    const use = {account: ACCOUNT, run: 1, refused: 2};
    expect(counter.takeReport()).toEqual([use]);
    expect(counter.takeReport()).toEqual([]);
  });

  it('forgets an account that has no limit any more', () => {
    const {counter, pass} = makeCounter(10, 10);
    pass(1_000);
    counter.setAccounts([{...ENTRY, limit: undefined}]);
    expect(counter.requestPermits(ACCOUNT, 1).kind).toBe('unknown account');
  });
});

it('has rested for no time while an operation waits for its token', () => {
  // A flood reserves tokens that are to come. The counter greets a new leader
  // just then; a rest below 0 cannot be written, and its process ended.
  const {clock, counter, pass} = makeCounter(10, 1);
  pass(60);
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

/** A share that a counter may be told, of an account of any size. */
function anyShare(random: SeededRandom) {
  const perSecond = random.pick([0, 0.001, 0.3, 1, 70]);
  const depth = random.pick([0, 0.5, 1, 3.8, 30]);
  return {account: ACCOUNT, perSecond, depth, tokens: 0};
}

it('answers with times that a message can carry', () => {
  // A flood meets a counter just when its share shrinks. One caller was told to
  // come back 22 ms ago; a time below 0 cannot be written as a count, and the
  // process of the counter ended, with all that it served.
  for (let seed = 1; seed <= 300; seed++) {
    const random = new SeededRandom(seed);
    const {clock, counter} = makeCounter(1, 1);
    for (let step = 0, number = 1; step < 200; step++) {
      clock.advance(random.integer(0, 300) / random.pick([1, 7]));
      counter.extendLease(clock.now());
      const what = random.integer(0, 7);
      if (what === 0) {
        counter.setShares({shares: [anyShare(random)], number: ++number});
      }
      if (what === 1) counter.returnPermits(ACCOUNT, random.integer(1, 3));
      const decision = counter.requestPermits(ACCOUNT, random.integer(1, 20));
      const reply = encodeDecision(1, decision);
      expect(() => PermitReply.encode(reply).finish()).not.toThrow();
    }
  }
});

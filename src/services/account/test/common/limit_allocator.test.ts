import {describe, expect, it} from 'vitest';
import type {
  AccountShare,
  AccountUse,
} from '../../../../schema/generated/fleet';
import {SHARE_LEASE_MS} from '../../common/permit_counting';
import {LimitAllocator} from '../../common/limit_allocator';

const ACCOUNT = 'fern';

/** A leader of control and its counters. */
class Control {
  readonly allocator: LimitAllocator;
  now = 0;
  /** The rates that were last sent to counters. */
  readonly rates = new Map<string, number>();
  private readonly listNumbers = new Map<string, number>();

  constructor(
    readonly counters: readonly string[],
    perSecond = 60,
  ) {
    this.allocator = new LimitAllocator(0);
    this.setLimit(perSecond);
    this.setCounters(counters);
  }

  setLimit(perSecond: number): void {
    const limit = {perSecond, burst: perSecond};
    const entry = {account: ACCOUNT, keyDigests: [], limit};
    this.allocator.setAccounts([entry], this.now);
  }

  setCounters(
    counters: readonly string[],
    retiring: readonly string[] = [],
  ): void {
    const entries = [...counters, ...retiring].map(instance => {
      const isRetiring = retiring.includes(instance);
      return {instance, address: '', site: '', retiring: isRetiring};
    });
    this.allocator.setCounters(entries, this.now);
  }

  attach(counter: string, perSecond = 0, depth = perSecond): void {
    const share = {account: ACCOUNT, perSecond, depth, tokens: 0};
    const shares = perSecond > 0 ? [share] : [];
    this.listNumbers.set(counter, 0);
    this.allocator.onDidAttach(counter, shares, this.now, this.now);
  }

  /** A counter sends a report, by default as applying the newest list. */
  report(
    counter: string,
    demand = 0,
    number = this.listNumbers.get(counter)!,
  ): void {
    const uses: AccountUse[] = [{account: ACCOUNT, run: demand, refused: 0}];
    this.allocator.report(counter, uses, number, this.now);
    this.allocator.renewLease(counter, this.now);
  }

  /** Returns the share that is sent to a counter now; undefined for none. */
  send(counter: string): AccountShare | undefined {
    const list = this.allocator.takeChangedShares(counter, this.now);
    if (!list) return undefined;
    this.listNumbers.set(counter, list.number);
    this.rates.set(counter, list.shares[0]!.perSecond);
    return list.shares[0];
  }

  /** Lets counters report and get their shares for some time. */
  run(milliseconds: number, demands: Record<string, number>): void {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now += 100;
      for (const [counter, demand] of Object.entries(demands)) {
        this.report(counter, demand / 10);
        this.send(counter);
      }
    }
  }
}

/** Starts with two counters, of which the first has most of the load. */
function startBusy(): Control {
  const control = new Control(['a', 'b']);
  control.attach('a');
  control.attach('b');
  control.run(3_000, {a: 40, b: 4});
  return control;
}

describe('a leader of control', () => {
  it('divides the whole limit at once where no counter has a share', () => {
    const control = new Control(['a', 'b']);
    control.attach('a');
    control.attach('b');
    const shares = [control.send('a')!, control.send('b')!];
    const sum = shares.reduce((all, {perSecond}) => all + perSecond, 0);
    expect(sum).toBeGreaterThan(60 * 0.8);
    expect(sum).toBeLessThanOrEqual(60);
  });

  it('gives larger shares to busy counters, and some to all', () => {
    const control = startBusy();
    control.attach('a');
    control.attach('b');
    const [a, b] = [control.send('a')!, control.send('b')!];
    expect(a.perSecond).toBeGreaterThan(40);
    expect(b.perSecond).toBeGreaterThan(2);
    expect(b.depth).toBeGreaterThanOrEqual(1);
  });

  it('raises a share only after another counter lowered its own', () => {
    // Guards against a rate that is in use twice while the list with the lower
    // share is still on its way.
    const control = startBusy();
    const before = control.rates.get('a')!;
    control.now += 8_000;
    control.report('a');
    control.report('b', 160);
    const lowered = control.send('a')!;
    control.send('b');
    expect(before).toBeGreaterThan(30);
    expect(control.rates.get('b')! + before).toBeLessThan(60 + 1e-9);
    control.report('a', 0, 1);
    control.now += 100;
    expect(control.send('b')).toBeUndefined();
    control.report('a');
    control.now += 100;
    const raised = control.send('b')!;
    expect(raised.perSecond).toBeGreaterThan(35);
    expect(raised.perSecond + lowered.perSecond).toBeLessThan(60 + 1e-9);
  });

  it('withholds the share of a lost counter until its lease expired', () => {
    // Guards against a rate that is in use twice: callers may still reach a
    // counter that is disconnected from control.
    const control = startBusy();
    const before = control.rates.get('a')!;
    control.run(SHARE_LEASE_MS, {b: 50});
    expect(control.allocator.canRemove('a', control.now)).toBe(false);
    control.attach('b');
    expect(control.send('b')!.perSecond).toBeLessThan(60 - before + 1e-9);
    control.run(2_000, {b: 50});
    expect(control.allocator.canRemove('a', control.now)).toBe(true);
    control.attach('b');
    expect(control.send('b')!.perSecond).toBeGreaterThan(45);
  });

  it('lets a lease expire only as of a confirmation by a majority', () => {
    // Guards against a deposed leader that grants the shares of a counter which
    // is attached to its successor.
    const control = startBusy();
    for (let at = 0; at < 100; at++) {
      control.now += 100;
      control.allocator.report('b', [], 1, control.now);
      control.send('b');
    }
    expect(control.allocator.canRemove('a', control.now)).toBe(false);
  });

  it('withholds the shares of counters that did not attach yet', () => {
    // Guards against shares of an earlier leader that are in use twice.
    const control = new Control(['a', 'b', 'c']);
    control.attach('a', 10);
    control.attach('b', 10);
    control.run(5_000, {a: 50, b: 50});
    control.attach('a', 12);
    expect(control.send('a')!.perSecond).toBeLessThanOrEqual(12);
    control.attach('c', 20);
    control.run(3_000, {a: 50, b: 50, c: 1});
    control.attach('a', 12);
    expect(control.send('a')!.perSecond).toBeGreaterThan(20);
  });

  it('withholds a raised limit while counters are unknown', () => {
    // Guards against a limit that was lowered before a change of leader:
    // unknown counters may still apply their shares of the old limit.
    const control = new Control(['a', 'b'], 30);
    control.attach('a', 40);
    control.run(500, {a: 50});
    control.setLimit(60);
    control.run(500, {a: 50});
    expect(control.rates.get('a')!).toBeLessThanOrEqual(40);
    control.attach('b', 20);
    control.run(8_000, {a: 50, b: 1});
    expect(control.rates.get('a')!).toBeGreaterThan(40);
  });

  it('reports how long it withholds shares of unknown counters', () => {
    const control = new Control(['a', 'b']);
    control.attach('a', 10);
    const before = control.allocator.takeNotices();
    expect(before).toEqual([{kind: 'withholding', unattached: ['a', 'b']}]);
    control.attach('b', 10);
    const after = control.allocator.takeNotices();
    expect(after).toEqual([{kind: 'all known', counters: 2}]);
  });

  it('reports the idle time for which it adds tokens', () => {
    const control = new Control(['a', 'b']);
    for (const counter of control.counters) control.attach(counter);
    control.now = 1_600;
    for (const counter of control.counters) control.report(counter);
    control.allocator.takeNotices();
    for (const counter of control.counters) control.send(counter);
    const notices = control.allocator.takeNotices();
    expect(notices).toEqual([
      {kind: 'initial tokens', idleMs: 1_000, counters: 2},
    ]);
  });

  it('adds no tokens of an idle time that ended long ago', () => {
    // Guards against a counter that gets, with its first share, what another
    // one did not get after a restart of all: the depth is in use elsewhere.
    const control = new Control(['a', 'b', 'c']);
    for (const counter of control.counters) control.attach(counter);
    control.now = 1_400;
    for (const counter of ['a', 'b']) control.report(counter);
    expect(control.send('a')!.tokens).toBeGreaterThan(0);
    control.run(20_000, {a: 30, b: 30});
    control.setCounters(['a', 'b', 'c', 'd']);
    for (const counter of ['c', 'd']) {
      control.attach(counter);
      control.run(200, {a: 30, b: 30});
      control.report(counter);
      expect(control.send(counter)).toMatchObject({tokens: 0});
    }
  });

  it('grants withheld shares once the lease of all counters expired', () => {
    // Guards against refusals below the limit where a counter never attaches.
    const control = new Control(['a', 'b', 'c']);
    control.attach('a', 10);
    control.attach('b', 10);
    control.run(SHARE_LEASE_MS + 2_000, {a: 50, b: 50});
    control.attach('a', 10);
    expect(control.send('a')!.perSecond).toBeGreaterThan(20);
  });

  it('lowers shares at once with the limit', () => {
    const control = startBusy();
    control.setLimit(6);
    control.now += 100;
    const shares = [control.send('a')!, control.send('b')!];
    const sum = shares.reduce((all, {perSecond}) => all + perSecond, 0);
    expect(sum).toBeLessThan(6 + 1e-9);
    expect(sum).toBeGreaterThan(5);
  });

  it('frees a counter after the account lost its limit', () => {
    // Guards against counters that stay listed as retiring for good and are not
    // chosen again when the limits return.
    const control = startBusy();
    control.allocator.setAccounts([], control.now);
    control.setCounters([], ['a', 'b']);
    control.run(SHARE_LEASE_MS - 1_000, {a: 0, b: 0});
    expect(control.allocator.canRemove('a', control.now)).toBe(false);
    control.run(6_000, {a: 0, b: 0});
    expect(control.allocator.canRemove('a', control.now)).toBe(true);
  });

  it('gives a retiring counter no new share and frees it', () => {
    const control = startBusy();
    control.attach('c');
    control.setCounters(['b', 'c'], ['a']);
    control.run(5_000, {a: 0, b: 4, c: 40});
    expect(control.allocator.canRemove('a', control.now)).toBe(true);
    control.attach('c');
    expect(control.send('c')!.perSecond).toBeGreaterThan(30);
  });

  it('does not send small changes', () => {
    const control = startBusy();
    control.run(10_000, {a: 42, b: 4});
    let sentCount = 0;
    for (let at = 0; at < 50; at++) {
      control.now += 100;
      for (const counter of ['a', 'b']) {
        control.report(counter, counter === 'a' ? 4 + (at % 2) * 0.4 : 0.4);
        if (control.send(counter)) sentCount++;
      }
    }
    expect(sentCount).toBe(0);
  });

  it('sends all shares again to a counter that dropped them', () => {
    // Guards against a counter that refuses all accounts whose shares did not
    // change since its lease expired.
    const control = startBusy();
    control.report('a', 0, 0);
    const share = control.send('a');
    expect(share?.perSecond).toBeGreaterThan(1);
  });

  it('accounts for the permits of a counter that restarted', () => {
    // Guards against an account that exceeds its limit: proxies still hold
    // permits that the counter granted before it restarted.
    const control = startBusy();
    const before = 60 / 2;
    control.attach('a');
    const own = control.send('a')!;
    expect(own.depth).toBeLessThanOrEqual(before / 2);
    control.report('a');
    control.now += 1_000;
    control.report('a');
    control.report('b');
    expect(control.send('a')!.depth).toBeGreaterThan(before * 0.9);
  });

  it('sends nothing to an unresponsive counter', () => {
    // Guards against shares that count as in use though the list never arrived.
    const control = startBusy();
    control.now += 2_000;
    control.setLimit(600);
    expect(control.send('a')).toBeUndefined();
    control.report('a');
    expect(control.send('a')).toBeDefined();
  });

  it('sends nothing to proxies that are no counters', () => {
    const control = startBusy();
    control.attach('x');
    expect(control.send('x')).toBeUndefined();
  });

  it('reports accounts that come close to their limits', () => {
    const control = startBusy();
    expect(control.allocator.updateNearLimit(control.now)).toEqual([]);
    control.run(8_000, {a: 70, b: 4});
    const [near] = control.allocator.updateNearLimit(control.now);
    expect(near).toMatchObject({isNearLimit: true, counters: 2});
    control.run(8_000, {a: 10, b: 4});
    const [below] = control.allocator.updateNearLimit(control.now);
    expect(below).toMatchObject({isNearLimit: false});
  });
});

import {describe, expect, it} from 'vitest';
import type {
  AccountShare,
  AccountUse,
} from '../../../../schema/generated/fleet';
import {SHARE_LEASE_MS} from '../../common/permit_counting';
import {LimitAllocator} from '../../common/limit_allocator';

const ACCOUNT = 'fern';

/** A leader of control, and what its counters do. */
class Control {
  readonly allocator: LimitAllocator;
  now = 0;
  /** What counters were told last, in operations a second. */
  readonly rates = new Map<string, number>();
  private readonly numbers = new Map<string, number>();

  constructor(
    readonly counters: readonly string[],
    perSecond = 60,
  ) {
    this.allocator = new LimitAllocator(0);
    this.limit(perSecond);
    this.name(counters);
  }

  limit(perSecond: number): void {
    const limit = {perSecond, burst: perSecond};
    const entry = {account: ACCOUNT, keyDigests: [], limit};
    this.allocator.setAccounts([entry], this.now);
  }

  name(counters: readonly string[], retiring: readonly string[] = []): void {
    const entries = [...counters, ...retiring].map(instance => {
      const isRetiring = retiring.includes(instance);
      return {instance, address: '', site: '', retiring: isRetiring};
    });
    this.allocator.setCounters(entries, this.now);
  }

  attach(counter: string, perSecond = 0, depth = perSecond): void {
    const share = {account: ACCOUNT, perSecond, depth, tokens: 0};
    const shares = perSecond > 0 ? [share] : [];
    this.numbers.set(counter, 0);
    this.allocator.onDidAttach(counter, shares, this.now, this.now);
  }

  /** A question of a counter that keeps to all it was told, or to less. */
  ask(counter: string, demand = 0, number = this.numbers.get(counter)!): void {
    const uses: AccountUse[] = [{account: ACCOUNT, run: demand, refused: 0}];
    this.allocator.report(counter, uses, number, this.now);
    this.allocator.renewLease(counter, this.now);
  }

  /** The share that a counter is told of now; undefined for none. */
  tell(counter: string): AccountShare | undefined {
    const list = this.allocator.takeChangedShares(counter, this.now);
    if (!list) return undefined;
    this.numbers.set(counter, list.number);
    this.rates.set(counter, list.shares[0]!.perSecond);
    return list.shares[0];
  }

  /** Everybody asks and is told, for some time. */
  run(milliseconds: number, demands: Record<string, number>): void {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now += 100;
      for (const [counter, demand] of Object.entries(demands)) {
        this.ask(counter, demand / 10);
        this.tell(counter);
      }
    }
  }
}

/** Two counters with shares, the first with most callers. */
function makeBusy(): Control {
  const control = new Control(['a', 'b']);
  control.attach('a');
  control.attach('b');
  control.run(3_000, {a: 40, b: 4});
  return control;
}

describe('a leader of control', () => {
  it('shares the whole limit out at once where all counters lost theirs', () => {
    const control = new Control(['a', 'b']);
    control.attach('a');
    control.attach('b');
    const shares = [control.tell('a')!, control.tell('b')!];
    const sum = shares.reduce((all, {perSecond}) => all + perSecond, 0);
    expect(sum).toBeGreaterThan(60 * 0.8);
    expect(sum).toBeLessThanOrEqual(60);
  });

  it('gives more to who is asked more, and something to all', () => {
    const control = makeBusy();
    control.attach('a');
    control.attach('b');
    const [a, b] = [control.tell('a')!, control.tell('b')!];
    expect(a.perSecond).toBeGreaterThan(40);
    expect(b.perSecond).toBeGreaterThan(2);
    expect(b.depth).toBeGreaterThanOrEqual(1);
  });

  it('raises a share only once another counter keeps to less', () => {
    // Callers move from one counter to another. Its list with less is still
    // under way: were the other's raised already, both would run the same part.
    const control = makeBusy();
    const before = control.rates.get('a')!;
    control.now += 8_000;
    control.ask('a');
    control.ask('b', 160);
    const lowered = control.tell('a')!;
    control.tell('b');
    expect(before).toBeGreaterThan(30);
    expect(control.rates.get('b')! + before).toBeLessThan(60 + 1e-9);
    control.ask('a', 0, 1);
    control.now += 100;
    expect(control.tell('b')).toBeUndefined();
    control.ask('a');
    control.now += 100;
    const raised = control.tell('b')!;
    expect(raised.perSecond).toBeGreaterThan(35);
    expect(raised.perSecond + lowered.perSecond).toBeLessThan(60 + 1e-9);
  });

  it('withholds what a silent counter has until its lease is over', () => {
    // A counter is cut off from control, while callers reach it still. Were its
    // share given to the other at once, the account would run both.
    const control = makeBusy();
    const before = control.rates.get('a')!;
    control.run(SHARE_LEASE_MS, {b: 50});
    expect(control.allocator.canRemove('a', control.now)).toBe(false);
    control.attach('b');
    expect(control.tell('b')!.perSecond).toBeLessThan(60 - before + 1e-9);
    control.run(2_000, {b: 50});
    expect(control.allocator.canRemove('a', control.now)).toBe(true);
    control.attach('b');
    expect(control.tell('b')!.perSecond).toBeGreaterThan(45);
  });

  it('counts the end of a lease only while a majority confirms it', () => {
    // A leader that was deposed without knowing it still hears one counter.
    // Another one follows its successor, with the shares that it has here.
    const control = makeBusy();
    for (let at = 0; at < 100; at++) {
      control.now += 100;
      control.allocator.report('b', [], 1, control.now);
      control.tell('b');
    }
    expect(control.allocator.canRemove('a', control.now)).toBe(false);
  });

  it('withholds what counters may have that did not come yet', () => {
    // An earlier leader gave shares. One of its counters is not there.
    const control = new Control(['a', 'b', 'c']);
    control.attach('a', 10);
    control.attach('b', 10);
    control.run(5_000, {a: 50, b: 50});
    control.attach('a', 12);
    expect(control.tell('a')!.perSecond).toBeLessThanOrEqual(12);
    control.attach('c', 20);
    control.run(3_000, {a: 50, b: 50, c: 1});
    control.attach('a', 12);
    expect(control.tell('a')!.perSecond).toBeGreaterThan(20);
  });

  it('withholds a limit that is raised while counters are unknown', () => {
    // An operator lowered the limit from 60 to 30 and control's leader changed.
    // A counter that did not come may still keep to 20 of the 60, of which the
    // new leader does not know. The limit is raised to 60 again.
    const control = new Control(['a', 'b'], 30);
    control.attach('a', 40);
    control.run(500, {a: 50});
    control.limit(60);
    control.run(500, {a: 50});
    expect(control.rates.get('a')!).toBeLessThanOrEqual(40);
    control.attach('b', 20);
    control.run(8_000, {a: 50, b: 1});
    expect(control.rates.get('a')!).toBeGreaterThan(40);
  });

  it('shares that out when the lease of those who did not come is over', () => {
    // One of the counters of an earlier leader never comes. Withheld for good,
    // its share would be missing to the account: callers below the limit are
    // refused.
    const control = new Control(['a', 'b', 'c']);
    control.attach('a', 10);
    control.attach('b', 10);
    control.run(SHARE_LEASE_MS + 2_000, {a: 50, b: 50});
    control.attach('a', 10);
    expect(control.tell('a')!.perSecond).toBeGreaterThan(20);
  });

  it('lowers shares at once where a limit is lowered', () => {
    const control = makeBusy();
    control.limit(6);
    control.now += 100;
    const shares = [control.tell('a')!, control.tell('b')!];
    const sum = shares.reduce((all, {perSecond}) => all + perSecond, 0);
    expect(sum).toBeLessThan(6 + 1e-9);
    expect(sum).toBeGreaterThan(5);
  });

  it('frees a counter once the account has no limit any more', () => {
    // An operator lifts all limits. Counters that stayed listed as retiring for
    // good were not named again when the limits came back, and callers of their
    // region were refused for want of one.
    const control = makeBusy();
    control.allocator.setAccounts([], control.now);
    control.name([], ['a', 'b']);
    control.run(SHARE_LEASE_MS - 1_000, {a: 0, b: 0});
    expect(control.allocator.canRemove('a', control.now)).toBe(false);
    control.run(6_000, {a: 0, b: 0});
    expect(control.allocator.canRemove('a', control.now)).toBe(true);
  });

  it('gives a retiring counter nothing new, and frees it', () => {
    const control = makeBusy();
    control.attach('c');
    control.name(['b', 'c'], ['a']);
    control.run(5_000, {a: 0, b: 4, c: 40});
    expect(control.allocator.canRemove('a', control.now)).toBe(true);
    control.attach('c');
    expect(control.tell('c')!.perSecond).toBeGreaterThan(30);
  });

  it('does not tell of small changes', () => {
    const control = makeBusy();
    control.run(10_000, {a: 42, b: 4});
    let told = 0;
    for (let at = 0; at < 50; at++) {
      control.now += 100;
      for (const counter of ['a', 'b']) {
        control.ask(counter, counter === 'a' ? 4 + (at % 2) * 0.4 : 0.4);
        if (control.tell(counter)) told++;
      }
    }
    expect(told).toBe(0);
  });

  it('tells a counter all again that dropped its shares', () => {
    // A counter heard nothing of a majority for longer than its lease, over a
    // connection that stands. Told of changes only, it would refuse everybody.
    const control = makeBusy();
    control.ask('a', 0, 0);
    const share = control.tell('a');
    expect(share?.perSecond).toBeGreaterThan(1);
  });

  it('counts the permits of a counter that starts again', () => {
    // A counter dies and comes back without shares. Proxies still hold permits
    // that it granted before; the whole share on top would let the account run
    // beyond its limit.
    const control = makeBusy();
    const before = 60 / 2;
    control.attach('a');
    const own = control.tell('a')!;
    expect(own.depth).toBeLessThanOrEqual(before / 2);
    control.ask('a');
    control.now += 1_000;
    control.ask('a');
    control.ask('b');
    expect(control.tell('a')!.depth).toBeGreaterThan(before * 0.9);
  });

  it('tells nothing to a counter that is silent', () => {
    // It comes again with the share that it has. A list that never reached it
    // would count as in use until then.
    const control = makeBusy();
    control.now += 2_000;
    control.limit(600);
    expect(control.tell('a')).toBeUndefined();
    control.ask('a');
    expect(control.tell('a')).toBeDefined();
  });

  it('tells nothing to proxies that are no counters', () => {
    const control = makeBusy();
    control.attach('x');
    expect(control.tell('x')).toBeUndefined();
  });

  it('judges which accounts are close to their limits', () => {
    const control = makeBusy();
    expect(control.allocator.updateNearLimit(control.now)).toEqual([]);
    control.run(8_000, {a: 70, b: 4});
    const [close] = control.allocator.updateNearLimit(control.now);
    expect(close).toMatchObject({isNearLimit: true, counters: 2});
    control.run(8_000, {a: 10, b: 4});
    const [again] = control.allocator.updateNearLimit(control.now);
    expect(again).toMatchObject({isNearLimit: false});
  });
});

import type {
  AccountEntry,
  AccountLimit,
  AccountShare,
  AccountShares,
  AccountUse,
  CounterEntry,
} from '../../../schema/generated/fleet';
import {
  SHARE_LEASE_MS,
  type AllocationNotice,
  type NearLimitChange,
  type ShareAllocator,
} from './permit_counting';
import {NO_LIMIT_WINDOW, type LimitPrecision} from './limit_precision';
import {LimitedAccount} from './limited_account';
import {
  leaseEnd,
  OUTSTANDING_PERMITS_MS,
  TrackedCounter,
} from './tracked_counter';

/**
 * Divides the limits of accounts among the counters by demand, in one term of a
 * control leader.
 *
 * The shares of an account never add up to more than its limit. One share is
 * lowered first, and another raised once the counter confirmed the lower one or
 * its lease expired.
 */
export class LimitAllocator implements ShareAllocator {
  private readonly accounts = new Map<string, LimitedAccount>();
  /** All proxies that attached, and listed counters that did not. */
  private readonly counters = new Map<string, TrackedCounter>();
  private listedNames: ReadonlySet<string> = new Set();
  /** Counters that are listed or may hold shares. */
  private active: readonly TrackedCounter[] = [];
  /** When a majority last confirmed this leader. */
  private confirmedAt: number;
  private hadUnknown = false;
  /** Whether any share was sent in this term. */
  private hasSentShares = false;
  /** When counters were first seen without shares, by name. */
  private readonly emptiedAt = new Map<string, number>();
  private notices: AllocationNotice[] = [];

  /**
   * @param beganAt When this leader's term began.
   * @param leaseMs How long shares are valid after a counter's request.
   */
  constructor(
    private readonly beganAt: number,
    private readonly precision: LimitPrecision = NO_LIMIT_WINDOW,
    private readonly leaseMs = SHARE_LEASE_MS,
  ) {
    this.confirmedAt = beganAt;
  }

  setAccounts(entries: readonly AccountEntry[], now: number): void {
    const limits = new Map(entries.map(({account, limit}) => [account, limit]));
    for (const account of this.accounts.keys()) {
      if (!limits.get(account)) this.removeAccount(account, now);
    }
    for (const [account, limit] of limits) {
      if (limit) this.setLimit(account, limit, now);
    }
  }

  setCounters(entries: readonly CounterEntry[], now: number): void {
    const byName = new Map(entries.map(entry => [entry.instance, entry]));
    this.listedNames = new Set(byName.keys());
    for (const name of byName.keys()) this.counterOf(name);
    for (const [name, counter] of this.counters) {
      counter.setEntry(byName.get(name), now);
      const isGone = !byName.has(name) && !counter.isResponsive(now);
      if (isGone && counter.isEmpty(now)) this.counters.delete(name);
    }
    this.refresh(now);
  }

  onDidAttach(
    name: string,
    shares: readonly AccountShare[],
    lastGrantAt: number,
    now: number,
  ): void {
    const counter = this.counterOf(name);
    const wasUnknown = this.listedNames.has(name) && !counter.isAttached;
    counter.attach(shares, lastGrantAt, now);
    if (wasUnknown) this.releaseShares(shares);
    const isCounter = this.listedNames.has(name) || !counter.isEmpty(now);
    if (isCounter) this.refresh(now);
  }

  report(
    name: string,
    uses: readonly AccountUse[],
    shareListNumber: number,
    now: number,
  ): void {
    this.counters.get(name)?.report(uses, shareListNumber, now);
  }

  renewLease(name: string, now: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, now);
    this.counters.get(name)?.renewLease(now);
    this.expireLeases(now);
  }

  takeChangedShares(name: string, now: number): AccountShares | undefined {
    const counter = this.counters.get(name);
    if (!counter || !this.active.includes(counter)) return undefined;
    // Guard: shares sent to an unresponsive counter would count as in use for
    // another lease when it attaches again with less.
    if (!counter.isAttached || !counter.isResponsive(now)) return undefined;
    this.grantInitialTokens(now);
    const shares: AccountShare[] = [];
    for (const [accountName, account] of this.accounts) {
      const share = account.changeFor(counter, this.active, now);
      if (!share) continue;
      const tokens = account.takeInitialTokens(counter, share.depth);
      shares.push({account: accountName, ...share, tokens});
    }
    if (shares.length === 0) return undefined;
    if (shares.some(({perSecond}) => perSecond > 0)) this.onDidSendShares(now);
    return counter.recordList(shares);
  }

  updateNearLimit(now: number): NearLimitChange[] {
    const changed: NearLimitChange[] = [];
    for (const [account, state] of this.accounts) {
      const demand = this.demandOf(account, now);
      if (!state.updateNearLimit(demand)) continue;
      const {isNearLimit, rateLimit} = state;
      const counters = this.active.filter(counter => {
        return counter.maxInUse(account, now).perSecond > 0;
      }).length;
      const rounded = Math.round(demand);
      changed.push({
        account,
        isNearLimit,
        demand: rounded,
        rateLimit,
        counters,
      });
    }
    return changed;
  }

  takeNotices(): AllocationNotice[] {
    const {notices} = this;
    this.notices = [];
    return notices;
  }

  canRemove(name: string, now: number): boolean {
    if (!this.isEmpty(name, now)) {
      this.emptiedAt.delete(name);
      return false;
    }
    const emptiedAt = this.emptiedAt.get(name) ?? now;
    this.emptiedAt.set(name, emptiedAt);
    // Guard: after a restart of the fleet, initial tokens are based on the idle
    // times of listed counters. One removed earlier may have granted permits
    // within the window, and the account would exceed its limit.
    return now - emptiedAt >= this.precision.windowMs;
  }

  private isEmpty(name: string, now: number): boolean {
    const counter = this.counters.get(name);
    if (!counter?.isAttached) return !this.hasUnknown;
    return counter.isEmpty(now);
  }

  private onDidSendShares(now: number): void {
    if (this.hasSentShares) return;
    this.hasSentShares = true;
    const idleMs = this.fleetIdleMs(now);
    if (idleMs === undefined || idleMs <= 0) return;
    const counters = this.listedNames.size;
    this.notices.push({kind: 'initial tokens', idleMs, counters});
  }

  /**
   * Adds the tokens of the idle time where all counters started without shares.
   * Guard: with empty buckets, a fleet that restarts as a whole would refuse
   * operations of accounts far below their limits.
   */
  private grantInitialTokens(now: number): void {
    if (this.hasSentShares || this.hasUnknown) return;
    const idleMs = this.fleetIdleMs(now);
    if (idleMs === undefined) return;
    const counters = this.listedCounters;
    for (const one of this.accounts.values()) {
      one.setInitialTokens(idleMs, counters);
    }
  }

  /**
   * Returns how long nobody can have granted a permit, where all counters
   * started without shares; undefined where one held some or did not attach.
   */
  private fleetIdleMs(now: number): number | undefined {
    const counters = this.listedCounters;
    const areAllEmpty = counters.every(one => one.isAttached && !one.hadShares);
    if (!areAllEmpty) return undefined;
    const lastGrantAt = Math.max(...counters.map(one => one.lastGrantAt));
    return now - lastGrantAt - OUTSTANDING_PERMITS_MS;
  }

  private setLimit(name: string, limit: AccountLimit, now: number): void {
    const known = this.accounts.get(name);
    if (known) return known.setLimit(limit);
    const account = new LimitedAccount(name, limit, this.precision);
    this.accounts.set(name, account);
    if (this.hasUnknown) account.reserve(this.active, now);
  }

  private removeAccount(account: string, now: number): void {
    this.accounts.delete(account);
    for (const one of this.counters.values()) one.removeAccount(account, now);
  }

  /** Whether a counter may hold shares of an earlier leader, not known here. */
  private get hasUnknown(): boolean {
    if (this.confirmedAt >= leaseEnd(this.beganAt, this.leaseMs)) return false;
    const counters = this.listedCounters;
    if (counters.some(({isAttached}) => !isAttached)) return true;
    // A counter that lost its shares may have outstanding permits. If all lost
    // theirs, there was no leader for longer than permits are valid.
    const mayHavePermits = counters.some(one =>
      one.mayHaveOutstandingPermits(this.confirmedAt),
    );
    return mayHavePermits && counters.some(({hadShares}) => hadShares);
  }

  private get listedCounters(): TrackedCounter[] {
    return [...this.listedNames].map(name => this.counters.get(name)!);
  }

  private releaseShares(shares: readonly AccountShare[]): void {
    for (const share of shares) {
      this.accounts.get(share.account)?.release(share);
    }
  }

  /** Updates what depends on the counters and their shares. */
  private refresh(now: number): void {
    const counters = [...this.counters];
    this.active = counters
      .filter(([name, counter]) => {
        return this.listedNames.has(name) || !counter.isEmpty(now);
      })
      .map(([, counter]) => counter);
    const isUnknown = this.hasUnknown;
    for (const account of this.accounts.values()) {
      account.invalidatePlan();
      // Guard: shares of an earlier leader stay in use until their lease
      // expires. Granted to others before, they would be in use twice.
      if (isUnknown && !this.hadUnknown) account.reserve(this.active, now);
      if (!isUnknown) account.releaseAll();
    }
    if (isUnknown !== this.hadUnknown) this.noteUnknown(isUnknown);
    this.hadUnknown = isUnknown;
  }

  private noteUnknown(isUnknown: boolean): void {
    const unattached = [...this.listedNames].filter(name => {
      return !this.counters.get(name)!.isAttached;
    });
    const counters = this.listedNames.size;
    this.notices.push(
      isUnknown
        ? {kind: 'withholding', unattached}
        : {kind: 'all known', counters},
    );
  }

  /**
   * Frees the shares of counters whose lease expired. Guard: as of the last
   * confirmation and not of now. A deposed leader that does not know it would
   * grant others what its successor left to a counter.
   */
  private expireLeases(now: number): void {
    let isChanged = this.hadUnknown && !this.hasUnknown;
    for (const counter of this.active) {
      if (counter.expireLease(this.confirmedAt, now)) isChanged = true;
    }
    if (isChanged) this.refresh(now);
  }

  private demandOf(account: string, now: number): number {
    let sum = 0;
    for (const counter of this.active) sum += counter.demandOf(account, now);
    return sum;
  }

  private counterOf(name: string): TrackedCounter {
    const known = this.counters.get(name);
    const counter = known ?? new TrackedCounter(this.leaseMs);
    this.counters.set(name, counter);
    return counter;
  }
}

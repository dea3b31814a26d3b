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
  type NearLimitChange,
  type ShareAllocator,
} from './permit_counting';
import {NO_LIMIT_WINDOW, type LimitPrecision} from './limit_precision';
import {LimitedAccount} from './limited_account';
import {leaseEnd, ShareHolder, STRAY_MS} from './tracked_counter';

/**
 * The leader of control's part in limits: divides what each account may run
 * among the counters, by what they are asked for.
 *
 * Shares of an account never add up to more than its limit. A share is lowered
 * first, and another raised once the counter keeps to less, or its lease ended.
 */
export class LimitAllocator implements ShareAllocator {
  private readonly accounts = new Map<string, LimitedAccount>();
  /** All proxies that came, and counters that did not. */
  private readonly holders = new Map<string, ShareHolder>();
  private listed: ReadonlySet<string> = new Set();
  /** Those that are listed or may hold shares. */
  private active: readonly ShareHolder[] = [];
  /** When a majority last confirmed this leader. */
  private confirmedAt: number;
  private wasUnknown = false;
  /** Whether any share was told in this leadership. */
  private hasTold = false;
  /** Since when counters hold nothing, by their names. */
  private readonly freeSince = new Map<string, number>();

  /**
   * @param since When this leadership began.
   * @param leaseMs How long shares hold after a counter's question.
   */
  constructor(
    private readonly since: number,
    private readonly precision: LimitPrecision = NO_LIMIT_WINDOW,
    private readonly leaseMs = SHARE_LEASE_MS,
  ) {
    this.confirmedAt = since;
  }

  setAccounts(entries: readonly AccountEntry[], now: number): void {
    const limits = new Map(entries.map(({account, limit}) => [account, limit]));
    for (const account of this.accounts.keys()) {
      if (!limits.get(account)) this.drop(account, now);
    }
    for (const [account, limit] of limits) {
      if (limit) this.setLimit(account, limit, now);
    }
  }

  setCounters(entries: readonly CounterEntry[], now: number): void {
    const byName = new Map(entries.map(entry => [entry.instance, entry]));
    this.listed = new Set(byName.keys());
    for (const name of byName.keys()) this.holderOf(name);
    for (const [name, holder] of this.holders) {
      holder.place(byName.get(name), now);
      const isGone = !byName.has(name) && !holder.isHeard(now);
      if (isGone && holder.holdsNothing(now)) this.holders.delete(name);
    }
    this.refresh(now);
  }

  onDidAttach(
    counter: string,
    shares: readonly AccountShare[],
    idleSince: number,
    now: number,
  ): void {
    const holder = this.holderOf(counter);
    const wasUnknown = this.listed.has(counter) && !holder.isAttached;
    holder.attach(shares, idleSince, now);
    if (wasUnknown) this.learn(shares);
    const isCounter = this.listed.has(counter) || !holder.holdsNothing(now);
    if (isCounter) this.refresh(now);
  }

  report(
    counter: string,
    uses: readonly AccountUse[],
    sharesNumber: number,
    now: number,
  ): void {
    this.holders.get(counter)?.report(uses, sharesNumber, now);
  }

  renewLease(counter: string, now: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, now);
    this.holders.get(counter)?.renew(now);
    this.expire(now);
  }

  takeChangedShares(counter: string, now: number): AccountShares | undefined {
    const holder = this.holders.get(counter);
    if (!holder || !this.active.includes(holder)) return undefined;
    // Guard: what is told to a counter that hears nothing would count as in use
    // when it comes again with less, and for a lease longer.
    if (!holder.isAttached || !holder.isHeard(now)) return undefined;
    this.begin(now);
    const shares: AccountShare[] = [];
    for (const [name, account] of this.accounts) {
      const terms = account.newsFor(holder, this.active, now);
      if (!terms) continue;
      const tokens = account.takeFirstTokens(holder, terms.depth);
      shares.push({account: name, ...terms, tokens});
    }
    if (shares.length === 0) return undefined;
    this.hasTold ||= shares.some(({perSecond}) => perSecond > 0);
    return holder.tell(shares);
  }

  updateNearLimit(now: number): NearLimitChange[] {
    const changed: NearLimitChange[] = [];
    for (const [account, state] of this.accounts) {
      const demand = this.demandOf(account, now);
      if (!state.judge(demand)) continue;
      const {isLimited, terms} = state;
      const counters = this.active.filter(holder => {
        return holder.most(account, now).perSecond > 0;
      }).length;
      const rounded = Math.round(demand);
      changed.push({
        account,
        isNearLimit: isLimited,
        demand: rounded,
        rateLimit: terms,
        counters,
      });
    }
    return changed;
  }

  canRemove(counter: string, now: number): boolean {
    if (!this.isEmpty(counter, now)) {
      this.freeSince.delete(counter);
      return false;
    }
    const since = this.freeSince.get(counter) ?? now;
    this.freeSince.set(counter, since);
    // Guard: after a common restart only those in the list are known to have
    // granted nothing of late; one that left it must not have either.
    return now - since >= this.precision.windowMs;
  }

  private isEmpty(counter: string, now: number): boolean {
    const holder = this.holders.get(counter);
    if (!holder?.isAttached) return !this.hasUnknown;
    return holder.holdsNothing(now);
  }

  /**
   * Gives accounts tokens to begin with, where all counters started anew: what
   * would have come since the last of them granted anything. Guard: with empty
   * buckets a fleet that restarts as one refuses operations of accounts far
   * below their limits.
   */
  private begin(now: number): void {
    if (this.hasTold || this.hasUnknown) return;
    const counters = this.listedHolders;
    if (counters.some(one => !one.isAttached || one.hadShares)) return;
    const idleSince = Math.max(...counters.map(one => one.idleSince));
    const idleMs = now - idleSince - STRAY_MS;
    for (const account of this.accounts.values()) account.begin(idleMs);
  }

  private setLimit(name: string, limit: AccountLimit, now: number): void {
    const known = this.accounts.get(name);
    if (known) return known.setLimit(limit);
    const account = new LimitedAccount(name, limit, this.precision);
    this.accounts.set(name, account);
    if (this.hasUnknown) account.withhold(this.active, now);
  }

  private drop(account: string, now: number): void {
    this.accounts.delete(account);
    for (const holder of this.holders.values()) holder.forget(account, now);
  }

  /**
   * Whether a counter may hold shares of an earlier leader's that this one does
   * not know.
   */
  private get hasUnknown(): boolean {
    if (this.confirmedAt >= leaseEnd(this.since, this.leaseMs)) return false;
    const counters = this.listedHolders;
    if (counters.some(({isAttached}) => !isAttached)) return true;
    // One that lost its shares may have permits out. Where all lost theirs, no
    // leader was there for longer than permits last.
    const isFresh = counters.some(one => one.isFresh(this.confirmedAt));
    return isFresh && counters.some(({hadShares}) => hadShares);
  }

  private get listedHolders(): ShareHolder[] {
    return [...this.listed].map(name => this.holders.get(name)!);
  }

  /** What a counter that came holds is unknown no more. */
  private learn(shares: readonly AccountShare[]): void {
    for (const share of shares) {
      this.accounts.get(share.account)?.release(share);
    }
  }

  /** Counters or their places changed. */
  private refresh(now: number): void {
    const holders = [...this.holders];
    this.active = holders
      .filter(([name, holder]) => {
        return this.listed.has(name) || !holder.holdsNothing(now);
      })
      .map(([, holder]) => holder);
    const isUnknown = this.hasUnknown;
    for (const account of this.accounts.values()) {
      account.replan();
      // Guard: shares that an earlier leader gave are in use until their lease
      // ends. Given away meanwhile they would be in use twice.
      if (isUnknown && !this.wasUnknown) account.withhold(this.active, now);
      if (!isUnknown) account.releaseAll();
    }
    this.wasUnknown = isUnknown;
  }

  /**
   * Frees what counters held whose lease is over. Guard: at the time of the
   * last confirmation and not by the clock; a leader that was deposed without
   * knowing it would give away what its successor left to a counter.
   */
  private expire(now: number): void {
    let isChanged = this.wasUnknown && !this.hasUnknown;
    for (const holder of this.active) {
      if (holder.expire(this.confirmedAt, now)) isChanged = true;
    }
    if (isChanged) this.refresh(now);
  }

  private demandOf(account: string, now: number): number {
    let sum = 0;
    for (const holder of this.active) sum += holder.demand(account, now);
    return sum;
  }

  private holderOf(name: string): ShareHolder {
    const known = this.holders.get(name);
    const holder = known ?? new ShareHolder(this.leaseMs);
    this.holders.set(name, holder);
    return holder;
  }
}

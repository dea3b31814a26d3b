import type {
  AccountEntry,
  AccountLimit,
  AccountShare,
  AccountShares,
  AccountUse,
  CounterEntry,
} from '../../../schema/generated/fleet';
import type {AccountJudgement, ShareAllocator} from './counting';
import {PLAIN_BUCKETS, sharedTerms, type LimitPrecision} from './enforcement';
import {divide} from './share_division';
import {leaseEnd, ShareHolder} from './share_holder';
import {NO_SHARE, type ShareHolding} from './share_holding';
import type {BucketTerms} from './token_bucket';

/** A share that differs by less than this part is not told anew. */
const SHARE_CHANGE_PART = 0.2;
/** How long shares that were worked out count, in milliseconds. */
const PLAN_MS = 50;
/** An account is close to its limit from this part of it on... */
const CLOSE_PART = 0.95;
/** ...and has room again below this one. */
const ROOM_PART = 0.85;

/** An account with a limit. */
interface LimitedAccount {
  limit: AccountLimit;
  terms: BucketTerms;
  /** Counts its limits. */
  edition: number;
  /** What counters hold that did not come yet. */
  unknown: BucketTerms;
  isLimited: boolean;
  plan: ReadonlyMap<ShareHolder, BucketTerms>;
  plannedAt: number;
}

/**
 * The leader of control's part in limits: divides what each account may run
 * among the counters, by what they are asked for.
 *
 * Shares of an account never add up to more than its limit. A share is lowered
 * first, and another raised once the counter keeps to less, or its lease ended.
 */
export class LimitAllocator implements ShareAllocator {
  private readonly accounts = new Map<string, LimitedAccount>();
  private readonly holders = new Map<string, ShareHolder>();
  private listed: ReadonlySet<string> = new Set();
  /** When a majority last confirmed this leader. */
  private confirmedAt: number;

  /** @param since When this leadership began. */
  constructor(
    private readonly since: number,
    private readonly precision: LimitPrecision = PLAIN_BUCKETS,
  ) {
    this.confirmedAt = since;
  }

  setAccounts(entries: readonly AccountEntry[], now: number): void {
    const limits = new Map(entries.map(({account, limit}) => [account, limit]));
    for (const account of this.accounts.keys()) {
      if (!limits.get(account)) this.drop(account);
    }
    for (const [account, limit] of limits) {
      if (limit) this.setLimit(account, limit, now);
    }
  }

  setCounters(entries: readonly CounterEntry[], now: number): void {
    const hadUnknown = this.hasUnknown;
    const byName = new Map(entries.map(entry => [entry.instance, entry]));
    this.listed = new Set(byName.keys());
    for (const name of byName.keys()) this.holderOf(name);
    for (const [name, holder] of this.holders) {
      holder.place(byName.get(name), now);
      const isGone = !byName.has(name) && !holder.isAttached;
      if (isGone) this.holders.delete(name);
    }
    this.replan();
    if (!hadUnknown) this.withholdUnknown(now);
  }

  onAttached(
    counter: string,
    shares: readonly AccountShare[],
    now: number,
  ): void {
    const holder = this.holderOf(counter);
    if (this.listed.has(counter) && !holder.isAttached) this.learn(shares);
    holder.attach(shares, now);
    this.replan();
  }

  report(
    counter: string,
    uses: readonly AccountUse[],
    sharesNumber: number,
    now: number,
  ): void {
    this.holders.get(counter)?.report(uses, sharesNumber, now);
  }

  onRenewed(counter: string, now: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, now);
    this.holders.get(counter)?.renew(now);
  }

  sharesFor(counter: string, now: number): AccountShares | undefined {
    const holder = this.holders.get(counter);
    // Guard: what is told to a counter that hears nothing would count as in use
    // when it comes again with less, and for a lease longer.
    if (!holder?.isAttached || !holder.isHeard(now)) return undefined;
    this.expire(now);
    const shares: AccountShare[] = [];
    for (const [name, account] of this.accounts) {
      const terms = this.newsOf(name, account, holder, now);
      if (terms) shares.push({account: name, ...terms});
    }
    if (shares.length === 0) return undefined;
    const number = holder.nextNumber();
    for (const {account, perSecond, depth} of shares) {
      holder.holding(account).tell({perSecond, depth}, number);
    }
    return {shares, number};
  }

  judge(now: number): AccountJudgement[] {
    const changed: AccountJudgement[] = [];
    for (const [name, account] of this.accounts) {
      const demand = this.demandOf(name, now);
      const {perSecond} = account.terms;
      const part = account.isLimited ? ROOM_PART : CLOSE_PART;
      const isLimited = demand > perSecond * part;
      if (isLimited === account.isLimited) continue;
      account.isLimited = isLimited;
      changed.push(this.judgementOf(name, account, demand, now));
    }
    return changed;
  }

  isFree(counter: string, now: number): boolean {
    this.expire(now);
    const holder = this.holders.get(counter);
    if (!holder?.isAttached) return !this.hasUnknown;
    return holder.holdsNothing(now);
  }

  private setLimit(name: string, limit: AccountLimit, now: number): void {
    const known = this.accounts.get(name);
    const isSame =
      known?.limit.perSecond === limit.perSecond &&
      known.limit.burst === limit.burst;
    if (isSame) return;
    const terms = sharedTerms(limit, this.precision);
    if (known) {
      known.limit = limit;
      known.terms = terms;
      known.edition++;
      known.plannedAt = -Infinity;
      return;
    }
    const account: LimitedAccount = {
      limit,
      terms,
      edition: 1,
      unknown: NO_SHARE,
      isLimited: false,
      plan: new Map(),
      plannedAt: -Infinity,
    };
    this.accounts.set(name, account);
    if (this.hasUnknown) this.withhold(name, account, now);
  }

  private drop(account: string): void {
    this.accounts.delete(account);
    for (const holder of this.holders.values()) holder.forget(account);
  }

  /**
   * Whether a counter may hold shares of an earlier leader's that this one does
   * not know.
   */
  private get hasUnknown(): boolean {
    if (this.confirmedAt >= leaseEnd(this.since)) return false;
    for (const name of this.listed) {
      if (!this.holders.get(name)?.isAttached) return true;
    }
    return false;
  }

  private withholdUnknown(now: number): void {
    if (!this.hasUnknown) return;
    for (const [name, account] of this.accounts) {
      this.withhold(name, account, now);
    }
  }

  /** Withholds all that no known counter has. */
  private withhold(name: string, account: LimitedAccount, now: number): void {
    account.unknown = minus(account.terms, this.sumOfMost(name, now));
  }

  /** What a counter that came holds is unknown no more. */
  private learn(shares: readonly AccountShare[]): void {
    for (const share of shares) {
      const account = this.accounts.get(share.account);
      if (account) account.unknown = minus(account.unknown, share);
    }
  }

  /** What a counter has to be told of an account; undefined for nothing. */
  private newsOf(
    name: string,
    account: LimitedAccount,
    holder: ShareHolder,
    now: number,
  ): BucketTerms | undefined {
    const holding = holder.holding(name);
    const target = this.planOf(name, account, now).get(holder);
    if (!target) return undefined;
    const terms = this.allowed(name, account, holder, target, now);
    if (!this.isWorthTelling(account, holding, terms)) return undefined;
    const isWhole = isClose(terms, target);
    if (isWhole) holding.edition = account.edition;
    return terms;
  }

  private isWorthTelling(
    {edition}: LimitedAccount,
    holding: ShareHolding,
    terms: BucketTerms,
  ): boolean {
    if (holding.isNews) return true;
    const {told} = holding;
    if (holding.edition !== edition && !isClose(told, terms)) return true;
    return (
      isChange(told.perSecond, terms.perSecond) ||
      isChange(told.depth, terms.depth)
    );
  }

  /**
   * As much of a share as others leave. Guard: what another counter may still
   * keep to is not given away, or both use it and the account runs beyond its
   * limit.
   */
  private allowed(
    name: string,
    account: LimitedAccount,
    holder: ShareHolder,
    target: BucketTerms,
    now: number,
  ): BucketTerms {
    const others = minus(this.sumOfMost(name, now), holder.most(name, now));
    const free = minus(this.budgetOf(account), others);
    return {
      perSecond: Math.min(target.perSecond, free.perSecond),
      depth: Math.min(target.depth, free.depth),
    };
  }

  private budgetOf(account: LimitedAccount): BucketTerms {
    if (!this.hasUnknown) return account.terms;
    return minus(account.terms, account.unknown);
  }

  private planOf(
    name: string,
    account: LimitedAccount,
    now: number,
  ): ReadonlyMap<ShareHolder, BucketTerms> {
    if (now - account.plannedAt < PLAN_MS) return account.plan;
    account.plan = this.makePlan(name, account, now);
    account.plannedAt = now;
    return account.plan;
  }

  private makePlan(
    name: string,
    account: LimitedAccount,
    now: number,
  ): Map<ShareHolder, BucketTerms> {
    const plan = new Map<ShareHolder, BucketTerms>();
    const eligible: ShareHolder[] = [];
    let budget = this.budgetOf(account);
    for (const holder of this.holders.values()) {
      if (holder.isEligible(now)) eligible.push(holder);
      else budget = minus(budget, this.planLeaving(name, holder, plan, now));
    }
    const claims = eligible.map(holder => ({
      demand: holder.demand(name, now),
      isHolding: holder.most(name, now).depth >= 1,
    }));
    const parts = divide(budget, claims);
    for (const [at, holder] of eligible.entries()) plan.set(holder, parts[at]!);
    return plan;
  }

  /** Plans for a counter that gets nothing new, and says what it still has. */
  private planLeaving(
    name: string,
    holder: ShareHolder,
    plan: Map<ShareHolder, BucketTerms>,
    now: number,
  ): BucketTerms {
    const isKept = !holder.isHeard(now) || holder.isLeaving(now);
    if (!isKept) plan.set(holder, NO_SHARE);
    return holder.most(name, now);
  }

  private replan(): void {
    for (const account of this.accounts.values()) account.plannedAt = -Infinity;
  }

  private expire(now: number): void {
    for (const holder of this.holders.values()) {
      holder.expire(this.confirmedAt, now);
    }
  }

  private sumOfMost(account: string, now: number): BucketTerms {
    let perSecond = 0;
    let depth = 0;
    for (const holder of this.holders.values()) {
      const most = holder.most(account, now);
      perSecond += most.perSecond;
      depth += most.depth;
    }
    return {perSecond, depth};
  }

  private demandOf(account: string, now: number): number {
    let sum = 0;
    for (const holder of this.holders.values()) {
      sum += holder.demand(account, now);
    }
    return sum;
  }

  private judgementOf(
    account: string,
    {isLimited, terms}: LimitedAccount,
    demand: number,
    now: number,
  ): AccountJudgement {
    const holders = [...this.holders.values()];
    const counters = holders.filter(holder => {
      return holder.most(account, now).perSecond > 0;
    }).length;
    return {account, isLimited, demand: Math.round(demand), terms, counters};
  }

  private holderOf(name: string): ShareHolder {
    const known = this.holders.get(name);
    const holder = known ?? new ShareHolder();
    this.holders.set(name, holder);
    return holder;
  }
}

function minus(one: BucketTerms, other: BucketTerms): BucketTerms {
  return {
    perSecond: Math.max(0, one.perSecond - other.perSecond),
    depth: Math.max(0, one.depth - other.depth),
  };
}

function isClose(one: BucketTerms, other: BucketTerms): boolean {
  const isSame = (a: number, b: number) => Math.abs(a - b) <= b * 1e-6;
  return (
    isSame(one.perSecond, other.perSecond) && isSame(one.depth, other.depth)
  );
}

function isChange(before: number, after: number): boolean {
  const difference = Math.abs(after - before);
  return difference > 0 && difference >= before * SHARE_CHANGE_PART;
}

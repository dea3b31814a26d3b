import type {AccountLimit} from '../../../schema/generated/fleet';
import {sharedTerms, type LimitPrecision} from './limit_precision';
import {divide} from './share_division';
import type {ShareHolder} from './tracked_counter';
import type {ShareHolding} from './tracked_share';
import {
  greater,
  isChange,
  isSame,
  lesser,
  minus,
  NO_SHARE,
  plus,
} from './rate_limit_math';
import type {RateLimit} from './token_bucket';

/** A share that differs by less than this part is not told anew. */
const SHARE_CHANGE_PART = 0.2;
/** How long shares that were worked out count, in milliseconds. */
const PLAN_MS = 50;
/** An account is close to its limit from this part of it on... */
const CLOSE_PART = 0.95;
/** ...and has room again below this one. */
const ROOM_PART = 0.85;

/** What counters have of a limit while not all came to this leader. */
interface WithheldShares {
  /** What those had that came. */
  readonly known: RateLimit;
  /** What is left of the limit, for those that did not come. */
  readonly unknown: RateLimit;
}

/** An account with a limit, and how the limit is divided. */
export class LimitedAccount {
  terms: RateLimit;
  isLimited = false;
  /** Set while counters may hold shares that this leader does not know. */
  private withheld: WithheldShares | undefined;
  /** Counts its limits. */
  private edition = 1;
  private plan: ReadonlyMap<ShareHolder, RateLimit> = new Map();
  private plannedAt = -Infinity;
  /** The part of a depth that is there at first, and how much in all. */
  private first = {part: 0, tokens: 0};
  private readonly begun = new Set<ShareHolder>();

  constructor(
    private readonly name: string,
    private limit: AccountLimit,
    private readonly precision: LimitPrecision,
  ) {
    this.terms = sharedTerms(limit, precision);
  }

  setLimit(limit: AccountLimit): void {
    const {perSecond, burst} = this.limit;
    if (limit.perSecond === perSecond && limit.burst === burst) return;
    this.limit = limit;
    this.terms = sharedTerms(limit, this.precision);
    this.edition++;
    this.replan();
  }

  /** Counters came, went or changed their place. */
  replan(): void {
    this.plannedAt = -Infinity;
  }

  /** Withholds all that no known counter has. */
  withhold(holders: readonly ShareHolder[], now: number): void {
    const known = this.sumOfMost(holders, now);
    this.withheld = {known, unknown: minus(this.terms, known)};
  }

  /** A share is withheld no more: a counter came with it. */
  release(share: RateLimit): void {
    if (!this.withheld) return;
    const {known, unknown} = this.withheld;
    const left = minus(unknown, share);
    this.withheld = {known: plus(known, share), unknown: left};
  }

  releaseAll(): void {
    this.withheld = undefined;
  }

  /** What a counter has to be told; undefined for nothing. */
  newsFor(
    holder: ShareHolder,
    holders: readonly ShareHolder[],
    now: number,
  ): RateLimit | undefined {
    const target = this.planFor(holders, now).get(holder);
    if (!target) return undefined;
    const holding = holder.holding(this.name);
    // What is allowed lies between that and what it was told.
    if (!this.isWorthTelling(holding, target)) return undefined;
    const terms = this.allowed(holder, target, holders, now);
    if (!this.isWorthTelling(holding, terms)) return undefined;
    if (isSame(terms, target)) holding.edition = this.edition;
    return terms;
  }

  /** Nobody granted anything of it for a time, in milliseconds. */
  begin(idleMs: number): void {
    const {perSecond, depth} = this.terms;
    const came = Math.max(0, (idleMs / 1_000) * perSecond);
    const tokens = Math.min(depth, came);
    this.first = {part: depth > 0 ? tokens / depth : 0, tokens};
  }

  /** Tokens that a counter begins with, where it is told of a depth. */
  takeFirstTokens(holder: ShareHolder, depth: number): number {
    if (depth === 0 || this.begun.has(holder)) return 0;
    this.begun.add(holder);
    const {part, tokens: left} = this.first;
    // Parts of a token let nobody run: some counters get whole ones.
    const tokens = Math.min(left, depth, Math.max(1, depth * part));
    this.first = {part, tokens: left - tokens};
    return tokens;
  }

  /** Looks whether it is close to its limit; whether that changed. */
  judge(demand: number): boolean {
    const part = this.isLimited ? ROOM_PART : CLOSE_PART;
    const isLimited = demand > this.terms.perSecond * part;
    const isChanged = isLimited !== this.isLimited;
    this.isLimited = isLimited;
    return isChanged;
  }

  /**
   * As much of a share as others leave. Guard: what another counter may still
   * keep to is not given away, or both use it and the account runs beyond its
   * limit.
   */
  private allowed(
    holder: ShareHolder,
    target: RateLimit,
    holders: readonly ShareHolder[],
    now: number,
  ): RateLimit {
    const holding = holder.holding(this.name);
    const own = minus(holding.most(now), holding.strayAt(now));
    const inUse = minus(this.sumOfMost(holders, now), own);
    const free = minus(this.budget, inUse);
    const {told} = holding;
    return lesser(target, greater(free, told));
  }

  /**
   * What known counters may have together. Guard: a limit that was lowered
   * before this leadership and is raised in it says nothing of what unknown
   * counters hold; only what known ones came with is surely theirs.
   */
  private get budget(): RateLimit {
    if (!this.withheld) return this.terms;
    const {known, unknown} = this.withheld;
    return lesser(known, minus(this.terms, unknown));
  }

  private isWorthTelling(holding: ShareHolding, terms: RateLimit): boolean {
    const {told, isNews, edition} = holding;
    if (isNews) return true;
    if (edition !== this.edition && !isSame(told, terms)) return true;
    return isChange(told, terms, SHARE_CHANGE_PART);
  }

  private planFor(
    holders: readonly ShareHolder[],
    now: number,
  ): ReadonlyMap<ShareHolder, RateLimit> {
    if (now - this.plannedAt < PLAN_MS) return this.plan;
    this.plan = this.makePlan(holders, now);
    this.plannedAt = now;
    return this.plan;
  }

  private makePlan(
    holders: readonly ShareHolder[],
    now: number,
  ): Map<ShareHolder, RateLimit> {
    const {name} = this;
    const plan = new Map<ShareHolder, RateLimit>();
    const eligible = holders.filter(holder => holder.isEligible(now));
    const others = holders.filter(holder => !holder.isEligible(now));
    for (const holder of others) {
      if (holder.isToBeEmptied(now)) plan.set(holder, NO_SHARE);
    }
    const kept = plus(this.sumOfMost(others, now), this.stray(eligible, now));
    const budget = minus(this.budget, kept);
    const claims = eligible.map(holder => ({
      demand: holder.demand(name, now),
      isHolding: holder.most(name, now).depth >= 1,
    }));
    const parts = divide(budget, claims);
    for (const [at, holder] of eligible.entries()) plan.set(holder, parts[at]!);
    return plan;
  }

  /** Permits that counters gave before they lost their shares. */
  private stray(holders: readonly ShareHolder[], now: number): RateLimit {
    return holders.reduce((sum, holder) => {
      return plus(sum, holder.holding(this.name).strayAt(now));
    }, NO_SHARE);
  }

  private sumOfMost(holders: readonly ShareHolder[], now: number): RateLimit {
    let perSecond = 0;
    let depth = 0;
    for (const holder of holders) {
      const most = holder.most(this.name, now);
      perSecond += most.perSecond;
      depth += most.depth;
    }
    return {perSecond, depth};
  }
}

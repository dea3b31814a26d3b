import type {AccountLimit} from '../../../schema/generated/fleet';
import {totalRateLimit, type LimitPrecision} from './limit_precision';
import {
  add,
  hasChanged,
  isSame,
  max,
  min,
  NO_SHARE,
  subtract,
} from './rate_limit_math';
import {divideShares} from './share_division';
import type {RateLimit} from './token_bucket';
import type {TrackedCounter} from './tracked_counter';
import type {TrackedShare} from './tracked_share';

/** A smaller change of a share is not sent. */
const MIN_SHARE_CHANGE_FRACTION = 0.2;
const PLAN_VALID_MS = 50;
/** Two thresholds, so that a steady demand does not switch back and forth. */
const NEAR_LIMIT_FRACTION = 0.95;
const BELOW_LIMIT_FRACTION = 0.85;

/** The division of a limit while not all counters attached to this leader. */
interface ReservedShares {
  /** What the attached counters held. */
  readonly known: RateLimit;
  /** The rest of the limit, which the others may hold. */
  readonly unknown: RateLimit;
}

/** An account with a limit, and how the limit is divided among counters. */
export class LimitedAccount {
  rateLimit: RateLimit;
  isNearLimit = false;
  /** Set while counters may hold shares that this leader does not know. */
  private reserved: ReservedShares | undefined;
  private version = 1;
  private plan: ReadonlyMap<TrackedCounter, RateLimit> = new Map();
  private plannedAt = -Infinity;
  /** Initial tokens that remain, and their fraction of a depth. */
  private initial = {fraction: 0, tokens: 0};
  /** Counters that get initial tokens with their first share. */
  private readonly unstartedCounters = new Set<TrackedCounter>();

  constructor(
    private readonly name: string,
    private limit: AccountLimit,
    private readonly precision: LimitPrecision,
  ) {
    this.rateLimit = totalRateLimit(limit, precision);
  }

  setLimit(limit: AccountLimit): void {
    const {perSecond, burst} = this.limit;
    if (limit.perSecond === perSecond && limit.burst === burst) return;
    this.limit = limit;
    this.rateLimit = totalRateLimit(limit, this.precision);
    this.version++;
    this.invalidatePlan();
  }

  invalidatePlan(): void {
    this.plannedAt = -Infinity;
  }

  /** Reserves what no known counter holds. */
  reserve(counters: readonly TrackedCounter[], now: number): void {
    const known = this.sumInUse(counters, now);
    this.reserved = {known, unknown: subtract(this.rateLimit, known)};
  }

  /** Releases the share of a counter that attached with it. */
  release(share: RateLimit): void {
    if (!this.reserved) return;
    const {known, unknown} = this.reserved;
    const remaining = subtract(unknown, share);
    this.reserved = {known: add(known, share), unknown: remaining};
  }

  releaseAll(): void {
    this.reserved = undefined;
  }

  /** Returns the share to send to a counter; undefined for none. */
  changeFor(
    counter: TrackedCounter,
    counters: readonly TrackedCounter[],
    now: number,
  ): RateLimit | undefined {
    const planned = this.planFor(counters, now).get(counter);
    if (!planned) return undefined;
    const share = counter.shareOf(this.name);
    // The allowed share lies between the planned one and the last one sent.
    if (!this.needsUpdate(share, planned)) return undefined;
    const allowed = this.allowedShare(counter, planned, counters, now);
    if (!this.needsUpdate(share, allowed)) return undefined;
    if (isSame(allowed, planned)) share.limitVersion = this.version;
    return allowed;
  }

  /**
   * Adds the tokens of an idle time to the first shares of counters.
   *
   * @param idleMs How long nobody granted anything, in milliseconds.
   */
  setInitialTokens(idleMs: number, counters: readonly TrackedCounter[]): void {
    this.unstartedCounters.clear();
    for (const counter of counters) this.unstartedCounters.add(counter);
    const {perSecond, depth} = this.rateLimit;
    const added = Math.max(0, (idleMs / 1_000) * perSecond);
    const tokens = Math.min(depth, added);
    this.initial = {fraction: depth > 0 ? tokens / depth : 0, tokens};
  }

  /** Returns the tokens that a counter gets with its first share. */
  takeInitialTokens(counter: TrackedCounter, depth: number): number {
    if (depth === 0 || !this.unstartedCounters.delete(counter)) return 0;
    const {fraction, tokens: remaining} = this.initial;
    // Less than one token runs no operation, so some counters get whole ones.
    const tokens = Math.min(remaining, depth, Math.max(1, depth * fraction));
    this.initial = {fraction, tokens: remaining - tokens};
    return tokens;
  }

  /** Compares a demand with the limit; whether `isNearLimit` changed. */
  updateNearLimit(demand: number): boolean {
    const fraction = this.isNearLimit
      ? BELOW_LIMIT_FRACTION
      : NEAR_LIMIT_FRACTION;
    const isNearLimit = demand > this.rateLimit.perSecond * fraction;
    const isChanged = isNearLimit !== this.isNearLimit;
    this.isNearLimit = isNearLimit;
    return isChanged;
  }

  /**
   * Returns as much of a planned share as others leave. Guard: what another
   * counter may still apply is not granted again, or both use it and the
   * account exceeds its limit.
   */
  private allowedShare(
    counter: TrackedCounter,
    planned: RateLimit,
    counters: readonly TrackedCounter[],
    now: number,
  ): RateLimit {
    const share = counter.shareOf(this.name);
    const own = subtract(share.maxInUse(now), share.outstandingAt(now));
    const inUse = subtract(this.sumInUse(counters, now), own);
    const free = subtract(this.budget, inUse);
    const {lastSent} = share;
    return min(planned, max(free, lastSent));
  }

  /**
   * What known counters may have together. Guard: where a limit was lowered
   * before this term and is raised in it, unknown counters may hold more than
   * the lower limit leaves. Known ones get no more than they attached with.
   */
  private get budget(): RateLimit {
    if (!this.reserved) return this.rateLimit;
    const {known, unknown} = this.reserved;
    return min(known, subtract(this.rateLimit, unknown));
  }

  private needsUpdate(share: TrackedShare, next: RateLimit): boolean {
    const {lastSent, mustSend, limitVersion} = share;
    if (mustSend) return true;
    if (limitVersion !== this.version && !isSame(lastSent, next)) return true;
    return hasChanged(lastSent, next, MIN_SHARE_CHANGE_FRACTION);
  }

  private planFor(
    counters: readonly TrackedCounter[],
    now: number,
  ): ReadonlyMap<TrackedCounter, RateLimit> {
    if (now - this.plannedAt < PLAN_VALID_MS) return this.plan;
    this.plan = this.makePlan(counters, now);
    this.plannedAt = now;
    return this.plan;
  }

  private makePlan(
    counters: readonly TrackedCounter[],
    now: number,
  ): Map<TrackedCounter, RateLimit> {
    const {name} = this;
    const plan = new Map<TrackedCounter, RateLimit>();
    const eligible = counters.filter(counter => counter.isEligible(now));
    const others = counters.filter(counter => !counter.isEligible(now));
    for (const counter of others) {
      // Guard: others get its depth and fill it. Tokens that it got later would
      // add to these, and the account would exceed its limit.
      this.unstartedCounters.delete(counter);
      if (counter.mustReturnShares(now)) plan.set(counter, NO_SHARE);
    }
    const kept = add(
      this.sumInUse(others, now),
      this.sumOutstanding(eligible, now),
    );
    const budget = subtract(this.budget, kept);
    const claims = eligible.map(counter => ({
      demand: counter.demandOf(name, now),
      hasShare: counter.maxInUse(name, now).depth >= 1,
    }));
    const shares = divideShares(budget, claims);
    for (const [i, one] of eligible.entries()) plan.set(one, shares[i]!);
    return plan;
  }

  /** Permits that counters granted before they lost their shares. */
  private sumOutstanding(
    counters: readonly TrackedCounter[],
    now: number,
  ): RateLimit {
    return counters.reduce((sum, counter) => {
      return add(sum, counter.shareOf(this.name).outstandingAt(now));
    }, NO_SHARE);
  }

  private sumInUse(
    counters: readonly TrackedCounter[],
    now: number,
  ): RateLimit {
    let perSecond = 0;
    let depth = 0;
    for (const counter of counters) {
      const inUse = counter.maxInUse(this.name, now);
      perSecond += inUse.perSecond;
      depth += inUse.depth;
    }
    return {perSecond, depth};
  }
}

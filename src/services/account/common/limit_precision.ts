import type {AccountLimit} from '../../../schema/generated/fleet';
import type {RateLimit} from './token_bucket';

/** How far an account may exceed its limit, over all instances. */
export interface LimitPrecision {
  /**
   * Length of the window in which operations are counted, in milliseconds; 0
   * to apply limits as plain token buckets. The limit of a window is the rate
   * times its length, and the burst.
   */
  readonly windowMs: number;
  /** The fraction by which a window may exceed its limit. */
  readonly excess: number;
  /** Operations that may run in a window on top of that. */
  readonly slack: number;
}

/** Limits are applied as token buckets of their rate and burst. */
export const NO_LIMIT_WINDOW: LimitPrecision = {
  windowMs: 0,
  excess: 0,
  slack: 0,
};

/** An operation may run later than its permit: network and pooler queue. */
const MAX_RUN_DELAY_MS = 50;

/**
 * Returns the rate and depth that all counters of an account may have together.
 * In any window, the operations that run are at most the tokens added in it and
 * the depth, which bounds stored tokens and outstanding permits.
 */
export function totalRateLimit(
  {perSecond: rate, burst}: AccountLimit,
  {windowMs, excess, slack}: LimitPrecision,
): RateLimit {
  if (windowMs === 0) return {perSecond: rate, depth: burst};
  const seconds = windowMs / 1_000;
  const inWindow = rate * seconds + burst;
  const perSecond = inWindow / seconds;
  const allowedExcess = inWindow * excess + slack;
  const depth = allowedExcess - (perSecond * MAX_RUN_DELAY_MS) / 1_000;
  return {perSecond, depth: Math.max(1, depth)};
}

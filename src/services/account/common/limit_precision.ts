import type {AccountLimit} from '../../../schema/generated/fleet';
import type {RateLimit} from './token_bucket';

/** How exactly limits of accounts have to be kept, over all instances. */
export interface LimitPrecision {
  /**
   * Spans of this length count, in milliseconds: what an account may run in one
   * is its rate for so long, and its burst. 0 where any span counts.
   */
  readonly windowMs: number;
  /** The part by which what runs in a span may exceed that. */
  readonly excess: number;
  /** Operations that may run besides. */
  readonly slack: number;
}

/** Where nothing is said, limits are kept as token buckets. */
export const NO_LIMIT_WINDOW: LimitPrecision = {
  windowMs: 0,
  excess: 0,
  slack: 0,
};

/**
 * How much later than it was granted an operation may run, in milliseconds: a
 * way, and its turn at a pooler.
 */
const RUN_LATER_MS = 50;

/**
 * What all counters of an account together may hold. In any span as many
 * operations run as tokens came in it, and the depth: what waited in buckets
 * and which permits were out when it began.
 */
export function sharedTerms(
  {perSecond: rate, burst}: AccountLimit,
  {windowMs, excess, slack}: LimitPrecision,
): RateLimit {
  if (windowMs === 0) return {perSecond: rate, depth: burst};
  const seconds = windowMs / 1_000;
  const inWindow = rate * seconds + burst;
  const perSecond = inWindow / seconds;
  const beyond = inWindow * excess + slack;
  const depth = beyond - (perSecond * RUN_LATER_MS) / 1_000;
  return {perSecond, depth: Math.max(1, depth)};
}

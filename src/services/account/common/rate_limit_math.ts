import type {RateLimit} from './token_bucket';

/** The share of a counter that may run no operation. */
export const NO_SHARE: RateLimit = {perSecond: 0, depth: 0};

/** A smaller relative difference is a rounding error. */
const ROUNDING_FRACTION = 1e-6;

/** Returns the sum of two limits. */
export function add(one: RateLimit, other: RateLimit): RateLimit {
  return {
    perSecond: one.perSecond + other.perSecond,
    depth: one.depth + other.depth,
  };
}

/** Returns the difference of two limits, each part at least 0. */
export function subtract(one: RateLimit, other: RateLimit): RateLimit {
  return {
    perSecond: Math.max(0, one.perSecond - other.perSecond),
    depth: Math.max(0, one.depth - other.depth),
  };
}

/** Returns the lower rate and the lower depth of two limits. */
export function min(one: RateLimit, other: RateLimit): RateLimit {
  return {
    perSecond: Math.min(one.perSecond, other.perSecond),
    depth: Math.min(one.depth, other.depth),
  };
}

/** Returns the higher rate and the higher depth of two limits. */
export function max(one: RateLimit, other: RateLimit): RateLimit {
  return {
    perSecond: Math.max(one.perSecond, other.perSecond),
    depth: Math.max(one.depth, other.depth),
  };
}

/** Whether two limits are equal except for rounding. */
export function isSame(one: RateLimit, other: RateLimit): boolean {
  return !hasChanged(one, other, ROUNDING_FRACTION);
}

/** Whether the rate or the depth changed by at least a fraction of itself. */
export function hasChanged(
  before: RateLimit,
  after: RateLimit,
  fraction: number,
): boolean {
  return (
    differs(before.perSecond, after.perSecond, fraction) ||
    differs(before.depth, after.depth, fraction)
  );
}

function differs(before: number, after: number, fraction: number): boolean {
  const difference = Math.abs(after - before);
  return difference > 0 && difference >= before * fraction;
}

import type {RateLimit} from './token_bucket';

/** No operations. */
export const NO_SHARE: RateLimit = {perSecond: 0, depth: 0};

/** Shares that differ by less than this part of them are the same. */
const ROUNDING_PART = 1e-6;

/** Two shares together. */
export function plus(one: RateLimit, other: RateLimit): RateLimit {
  return {
    perSecond: one.perSecond + other.perSecond,
    depth: one.depth + other.depth,
  };
}

/** What is left of a share; never below nothing. */
export function minus(one: RateLimit, other: RateLimit): RateLimit {
  return {
    perSecond: Math.max(0, one.perSecond - other.perSecond),
    depth: Math.max(0, one.depth - other.depth),
  };
}

/** As much of both as either has. */
export function lesser(one: RateLimit, other: RateLimit): RateLimit {
  return {
    perSecond: Math.min(one.perSecond, other.perSecond),
    depth: Math.min(one.depth, other.depth),
  };
}

/** As much of both as one of them has. */
export function greater(one: RateLimit, other: RateLimit): RateLimit {
  return {
    perSecond: Math.max(one.perSecond, other.perSecond),
    depth: Math.max(one.depth, other.depth),
  };
}

/** Whether two shares are the same but for rounding. */
export function isSame(one: RateLimit, other: RateLimit): boolean {
  return !isChange(one, other, ROUNDING_PART);
}

/** Whether a share became another by some part of it. */
export function isChange(
  before: RateLimit,
  after: RateLimit,
  part: number,
): boolean {
  return (
    isFar(before.perSecond, after.perSecond, part) ||
    isFar(before.depth, after.depth, part)
  );
}

function isFar(before: number, after: number, part: number): boolean {
  const difference = Math.abs(after - before);
  return difference > 0 && difference >= before * part;
}

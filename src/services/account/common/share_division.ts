import {sumOf} from '../../../base/common/numbers';
import {NO_SHARE} from './rate_limit_math';
import type {RateLimit} from './token_bucket';

/** The fraction of the unused rate that is kept for rising demand. */
const KEPT_FRACTION = 0.15;
/** The fraction of the unused rate that is divided equally. */
const EQUAL_FRACTION = 0.5;
/** At least this fraction of the limit is divided equally. */
const MIN_EQUAL_FRACTION = 0.1;

/** A counter among which the limit of an account is divided. */
export interface ShareClaim {
  /** Requested operations a second. */
  readonly demand: number;
  readonly hasShare: boolean;
}

/** Divides a limit among counters by their demand. */
export function divideShares(
  rateLimit: RateLimit,
  claims: readonly ShareClaim[],
): RateLimit[] {
  const served = selectClaims(claims, rateLimit.depth);
  const demands = served.map(claim => claim.demand);
  const rates = divideRate(rateLimit.perSecond, demands);
  // Stored tokens are lost where depth is moved, so it is divided equally.
  const depth = rateLimit.depth / Math.max(1, served.length);
  const shares = new Map(
    served.map((claim, index) => [claim, {perSecond: rates[index]!, depth}]),
  );
  return claims.map(claim => shares.get(claim) ?? NO_SHARE);
}

/** Leaves out claims where the depth of each would be less than one token. */
function selectClaims(
  claims: readonly ShareClaim[],
  depth: number,
): readonly ShareClaim[] {
  const maxCount = Math.max(1, Math.floor(depth));
  if (claims.length <= maxCount) return claims;
  const weight = ({demand, hasShare}: ShareClaim) => {
    return hasShare ? 2 * demand + 1 : demand;
  };
  const heaviest = [...claims].sort((one, two) => weight(two) - weight(one));
  return heaviest.slice(0, maxCount);
}

function divideRate(rate: number, demands: readonly number[]): number[] {
  const totalDemand = sumOf(demands);
  const unused = Math.max(0, rate - totalDemand);
  const kept = unused * KEPT_FRACTION;
  const equal = Math.max(rate * MIN_EQUAL_FRACTION, unused * EQUAL_FRACTION);
  const byDemand = rate - kept - equal;
  return demands.map(demand => {
    const fraction =
      totalDemand > 0 ? demand / totalDemand : 1 / demands.length;
    return byDemand * fraction + equal / demands.length;
  });
}

import {sumOf} from '../../../base/common/numbers';
import {NO_SHARE} from './rate_limit_math';
import type {RateLimit} from './token_bucket';

/**
 * The part of what an account does not ask for that stays with control, for the
 * counter that asks for more next.
 */
const LEFT_OVER_PART = 0.15;
/** The part of it that all counters get alike, asked or not. */
const EQUAL_PART = 0.5;
/** All counters alike get at least this part of the limit. */
const FLOOR_PART = 0.1;

/** A counter among those that get shares of an account. */
export interface Claim {
  /** Operations a second that it is asked for. */
  readonly demand: number;
  /** Whether it has a share already. */
  readonly isHolding: boolean;
}

/** Divides a limit among counters by what they are asked for. */
export function divide(
  terms: RateLimit,
  claims: readonly Claim[],
): RateLimit[] {
  const shared = choose(claims, terms.depth);
  const demands = shared.map(claim => claim.demand);
  const rates = divideRate(terms.perSecond, demands);
  // Tokens that wait are lost where depth moves away: it is divided evenly.
  const depth = terms.depth / Math.max(1, shared.length);
  const parts = new Map(
    shared.map((claim, at) => [claim, {perSecond: rates[at]!, depth}]),
  );
  return claims.map(claim => parts.get(claim) ?? NO_SHARE);
}

/** A counter where no token can wait runs nothing: then fewer get more. */
function choose(claims: readonly Claim[], depth: number): readonly Claim[] {
  const most = Math.max(1, Math.floor(depth));
  if (claims.length <= most) return claims;
  const weight = ({demand, isHolding}: Claim) => {
    return isHolding ? 2 * demand + 1 : demand;
  };
  const heaviest = [...claims].sort((one, two) => weight(two) - weight(one));
  return heaviest.slice(0, most);
}

function divideRate(all: number, demands: readonly number[]): number[] {
  const total = sumOf(demands);
  const spare = Math.max(0, all - total);
  const leftOver = spare * LEFT_OVER_PART;
  const alike = Math.max(all * FLOOR_PART, spare * EQUAL_PART);
  const byDemand = all - leftOver - alike;
  return demands.map(demand => {
    const part = total > 0 ? demand / total : 1 / demands.length;
    return byDemand * part + alike / demands.length;
  });
}

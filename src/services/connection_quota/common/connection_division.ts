import {sumOf} from '../../../base/common/numbers';

/** Each pooler gets at least this many connections, if there are enough. */
const MIN_SHARE = 2;
/** Covers a rise of the demand until grants follow. */
const HEADROOM_FRACTION = 0.25;

/** Returns the connections that a pooler needs for those that it wants. */
export function neededFor(wanted: number): number {
  return wanted + Math.ceil(wanted * HEADROOM_FRACTION);
}

/**
 * Divides the connections of one member among poolers by what each wants.
 *
 * Where all needs fit, the rest is divided in proportion to them. Otherwise
 * each pooler gets the minimum, and the rest is divided in proportion to the
 * needs beyond it, so that operations wait about as long everywhere.
 */
export function divideConnections(
  available: number,
  wanted: readonly number[],
): number[] {
  const count = wanted.length;
  if (count === 0) return [];
  const equalShare = Math.floor(available / count);
  const minShare = Math.max(1, Math.min(MIN_SHARE, equalShare));
  const needs = wanted.map(one => Math.max(minShare, neededFor(one)));
  const total = sumOf(needs);
  if (total <= available) return addParts(needs, available - total, needs);
  const beyond = needs.map(need => need - minShare);
  const bases = needs.map(() => minShare);
  return addParts(bases, Math.max(0, available - minShare * count), beyond);
}

/** Adds whole parts of a rest, in proportion to weights. */
function addParts(
  bases: readonly number[],
  rest: number,
  weights: readonly number[],
): number[] {
  const totalWeight = sumOf(weights);
  if (totalWeight === 0) return [...bases];
  const exact = weights.map(one => (rest * one) / totalWeight);
  const parts = exact.map(part => Math.floor(part));
  const order = exact
    .map((part, index) => ({index, remainder: part - Math.floor(part)}))
    .sort((a, b) => b.remainder - a.remainder || a.index - b.index);
  const spare = rest - sumOf(parts);
  for (const {index} of order.slice(0, spare)) parts[index]!++;
  return bases.map((base, index) => base + parts[index]!);
}

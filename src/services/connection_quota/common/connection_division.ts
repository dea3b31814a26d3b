import {sumOf} from '../../../base/common/numbers';

/** What a pooler has at least of a member while others want all, if it fits. */
const FLOOR = 2;
/** What is wanted changes within the time in which grants do: a part more. */
const HEADROOM = 0.25;

/** What one pooler needs for work that would keep so many connections busy. */
export function needOf(wanted: number): number {
  return wanted + Math.ceil(wanted * HEADROOM);
}

/**
 * Connections of one member for each pooler, by what each wants.
 *
 * All get what they need where that fits, and the rest by the same measure;
 * else a floor each, and beyond it by what they need: those who wait then wait
 * about as long everywhere.
 */
export function shareRoom(room: number, wanted: readonly number[]): number[] {
  const count = wanted.length;
  if (count === 0) return [];
  const each = Math.floor(room / count);
  const floor = Math.max(1, Math.min(FLOOR, each));
  const needs = wanted.map(one => Math.max(floor, needOf(one)));
  const all = sumOf(needs);
  if (all <= room) return addParts(needs, room - all, needs);
  const beyond = needs.map(need => need - floor);
  const floors = needs.map(() => floor);
  return addParts(floors, Math.max(0, room - floor * count), beyond);
}

/** Adds whole parts of what is left, in proportion to weights. */
function addParts(
  bases: readonly number[],
  left: number,
  weights: readonly number[],
): number[] {
  const weight = sumOf(weights);
  if (weight === 0) return [...bases];
  const exact = weights.map(one => (left * one) / weight);
  const parts = exact.map(part => Math.floor(part));
  const order = exact
    .map((part, at) => ({at, rest: part - Math.floor(part)}))
    .sort((a, b) => b.rest - a.rest || a.at - b.at);
  const spare = left - sumOf(parts);
  for (const {at} of order.slice(0, spare)) parts[at]!++;
  return bases.map((base, at) => base + parts[at]!);
}

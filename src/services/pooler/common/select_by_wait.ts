/** A pooler, and how long it says that work waits there. */
export interface PoolerLoad<L> {
  readonly link: L;
  /** In milliseconds; 0 where nothing is known. */
  readonly waitMs: number;
}

/** Where work goes by what poolers said of their waits. */
export type PoolerSelection<L> =
  | {readonly kind: 'send'; readonly link: L}
  | {readonly kind: 'refuse'; readonly load: PoolerLoad<L>};

/**
 * Another pooler has to be better by this, in milliseconds: the way there may
 * lead to another region and back, and accounts have no connections there.
 */
const CLEARLY_LESS_MS = 100;

/**
 * Sends work to the first pooler unless it would wait there for too long; then
 * to the one with clearly less wait, if it is served there in time. Connections
 * belong to accounts, so that work is not moved for less.
 */
export function selectByWait<L>(
  first: PoolerLoad<L>,
  others: readonly PoolerLoad<L>[],
  maxWaitMs: number,
): PoolerSelection<L> {
  if (first.waitMs <= maxWaitMs) return {kind: 'send', link: first.link};
  let best = first;
  for (const other of others) {
    const isClear = other.waitMs + CLEARLY_LESS_MS <= first.waitMs;
    if (isClear && other.waitMs < best.waitMs) best = other;
  }
  if (best.waitMs <= maxWaitMs) return {kind: 'send', link: best.link};
  return {kind: 'refuse', load: best};
}

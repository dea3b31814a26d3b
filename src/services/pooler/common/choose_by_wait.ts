/** A pooler, and how long it says that work waits there. */
export interface PoolerOffer<L> {
  readonly link: L;
  /** In milliseconds; 0 where nothing is known. */
  readonly waitMs: number;
}

/** Where work goes by what poolers said of their waits. */
export type WaitChoice<L> =
  | {readonly kind: 'send'; readonly link: L}
  | {readonly kind: 'refuse'; readonly offer: PoolerOffer<L>};

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
export function chooseByWait<L>(
  first: PoolerOffer<L>,
  others: readonly PoolerOffer<L>[],
  roomMs: number,
): WaitChoice<L> {
  if (first.waitMs <= roomMs) return {kind: 'send', link: first.link};
  let best = first;
  for (const other of others) {
    const isClear = other.waitMs + CLEARLY_LESS_MS <= first.waitMs;
    if (isClear && other.waitMs < best.waitMs) best = other;
  }
  if (best.waitMs <= roomMs) return {kind: 'send', link: best.link};
  return {kind: 'refuse', offer: best};
}

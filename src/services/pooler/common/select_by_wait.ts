/** A pooler and the wait that it reported last. */
export interface PoolerLoad<L> {
  readonly link: L;
  /** In milliseconds; 0 if the pooler reported none. */
  readonly waitMs: number;
}

/** The pooler to send a request to, or the shortest wait of a refused one. */
export type PoolerSelection<L> =
  | {readonly kind: 'send'; readonly link: L}
  | {readonly kind: 'refuse'; readonly load: PoolerLoad<L>};

/**
 * Covers the round trip to a pooler in another region and the opening of a
 * connection there.
 */
const MIN_WAIT_REDUCTION_MS = 100;

/**
 * Selects the first pooler unless the request would wait there for too long;
 * then the one with the shortest wait, if that is shorter by a margin. Refuses
 * the request if it would be late at both. Moving work costs new connections,
 * which are opened per account.
 */
export function selectByWait<L>(
  first: PoolerLoad<L>,
  others: readonly PoolerLoad<L>[],
  maxWaitMs: number,
): PoolerSelection<L> {
  if (first.waitMs <= maxWaitMs) return {kind: 'send', link: first.link};
  let best = first;
  for (const other of others) {
    const isWorthMoving = other.waitMs + MIN_WAIT_REDUCTION_MS <= first.waitMs;
    if (isWorthMoving && other.waitMs < best.waitMs) best = other;
  }
  if (best.waitMs <= maxWaitMs) return {kind: 'send', link: best.link};
  return {kind: 'refuse', load: best};
}

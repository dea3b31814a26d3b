/** What the grantor of leases knows of one holder. */
export interface LeaseHolderState {
  /** When a lease was last granted, on the grantor's clock. */
  readonly lastGrantAt: number;
  /** The holder's word that it relies on no lease below this number. */
  readonly handedBackBelow: number;
}

/** The time by which leases of earlier grantors are over, and how long they last. */
export interface LeaseBounds {
  /** When this grantor began; an earlier one granted nothing after it. */
  readonly leaderSince: number;
  /** The longest that a lease lasts on the grantor's clock, in ms. */
  readonly maxLeaseMs: number;
}

/**
 * Whether a holder can rely no more on the leases below a number: by its own
 * word, or because the last one that anybody granted it has run out.
 */
export function hasLeaseEnded(
  {handedBackBelow, lastGrantAt}: LeaseHolderState,
  below: number,
  {leaderSince, maxLeaseMs}: LeaseBounds,
  now: number,
): boolean {
  if (handedBackBelow >= below) return true;
  return now >= Math.max(lastGrantAt, leaderSince) + maxLeaseMs;
}

/** What the control leader knows of one lease holder. */
export interface LeaseHolderState {
  /** When a lease was last granted, on the leader's clock. */
  readonly lastGrantedAt: number;
  /** The holder has returned all leases on terms or epochs below this. */
  readonly returnedBelow: number;
}

/** By when leases of earlier leaders have expired. */
export interface LeaseBounds {
  /** When this leader was elected; earlier ones granted nothing after it. */
  readonly leaderSince: number;
  /** Longest time that a lease can last on the leader's clock, in ms. */
  readonly maxLeaseMs: number;
}

/**
 * Whether a holder has no lease below a term or epoch any more, because it
 * returned them or because the last one that any leader granted has expired.
 */
export function hasLeaseEnded(
  {returnedBelow, lastGrantedAt}: LeaseHolderState,
  below: number,
  {leaderSince, maxLeaseMs}: LeaseBounds,
  now: number,
): boolean {
  if (returnedBelow >= below) return true;
  return now >= Math.max(lastGrantedAt, leaderSince) + maxLeaseMs;
}

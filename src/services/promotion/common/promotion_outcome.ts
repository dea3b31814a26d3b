/** Outcome of a promotion request. */
export type PromotionOutcome =
  | 'accepted'
  /** A newer token was seen, or the member is not running. */
  | 'refused'
  /** Not sent, rate limited or unavailable; nothing was done. */
  | 'not now'
  /** No reply; the request may still take effect seconds later. */
  | 'unknown';

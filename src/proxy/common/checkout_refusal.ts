/** Why a request got no connection, as reported to its caller. */
export interface CheckoutRefusal {
  readonly reason: RefusalReason;
  /** Retry delay, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Part of the error message that the caller gets. */
export type RefusalReason =
  | 'queue full'
  | 'deadline cannot be met'
  | 'deadline passed'
  | 'no primary'
  | 'unknown service'
  | 'shutting down';

/** Bounds the additional delay from spreading. */
const MAX_SPREAD_MS = 1_000;

/**
 * Spreads the retries of refused callers at the rate at which the queue drains,
 * so that they do not all return at once.
 */
export class RetryPacer {
  private lastRetryAt = -Infinity;

  /** The retry delay of a request with an expected wait. */
  nextDelayMs(now: number, expectedWaitMs: number, intervalMs: number): number {
    const earliestAt = now + expectedWaitMs;
    const nextAt = Math.max(earliestAt, this.lastRetryAt + intervalMs);
    this.lastRetryAt =
      nextAt > earliestAt + MAX_SPREAD_MS ? earliestAt : nextAt;
    return this.lastRetryAt - now;
  }
}

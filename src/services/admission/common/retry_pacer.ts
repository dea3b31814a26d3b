/** Refused callers are not sent further away than this for it, in ms. */
const MOST_SPREAD_MS = 1_000;

/**
 * When refused callers come back. Those told within the same time get times
 * one after the other, as fast as the queue drains: all of them at one moment
 * would be the next crowd.
 */
export class RetryPacer {
  private lastAt = -Infinity;

  /** The time for one who would wait so long, in milliseconds from now. */
  nextDelayMs(now: number, afterMs: number, intervalMs: number): number {
    const wanted = now + afterMs;
    const inTurn = Math.max(wanted, this.lastAt + intervalMs);
    this.lastAt = inTurn > wanted + MOST_SPREAD_MS ? wanted : inTurn;
    return this.lastAt - now;
  }
}

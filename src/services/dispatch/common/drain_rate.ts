const INTERVAL_WEIGHT = 0.2;
/** A longer interval is a stall, such as an outage of the primary. */
const MAX_INTERVAL_MS = 150;
/**
 * The first intervals after a start are too long to refuse requests by: code is
 * not compiled and connections are not open yet, and callers would use up their
 * retries meanwhile.
 */
const MIN_INTERVAL_COUNT = 30;
/** Assumed before an interval was seen. */
const INITIAL_INTERVAL_MS = 10;

/**
 * Measures how fast queued requests get a connection.
 *
 * Guard: an estimate from connections or windows ignores the load of other
 * instances and is too short; requests would be refused only after a long wait.
 * The measured rate includes that load.
 */
export class DrainRate {
  private intervalMs = INITIAL_INTERVAL_MS;
  private intervalCount = 0;
  /** Undefined while no requests are queued. */
  private intervalStartedAt: number | undefined;

  /** Records that a request was served, and whether others are queued. */
  onServed(now: number, hasQueued: boolean): void {
    const elapsedMs = now - (this.intervalStartedAt ?? -Infinity);
    if (elapsedMs < MAX_INTERVAL_MS) {
      this.intervalCount++;
      this.intervalMs += (elapsedMs - this.intervalMs) * INTERVAL_WEIGHT;
    }
    this.intervalStartedAt = hasQueued ? now : undefined;
  }

  /** Records that a request was queued; intervals count from then on. */
  onQueued(now: number): void {
    this.intervalStartedAt ??= now;
  }

  /** Records that no requests are queued any more. */
  onEmpty(): void {
    this.intervalStartedAt = undefined;
  }

  /** The expected wait of a request behind others, including a stall. */
  expectedWaitMs(aheadCount: number, now: number): number {
    if (aheadCount === 0 || this.intervalCount < MIN_INTERVAL_COUNT) return 0;
    const stalledMs = now - (this.intervalStartedAt ?? now);
    return Math.max(this.drainMs(aheadCount), stalledMs);
  }

  /** How long serving some requests takes, without a stall. */
  drainMs(count: number): number {
    return this.intervalCount < MIN_INTERVAL_COUNT
      ? 0
      : count * this.intervalMs;
  }
}

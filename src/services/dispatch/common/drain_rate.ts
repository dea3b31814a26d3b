/** Weight of a new interval: it follows a change within about five places. */
const WEIGHT = 0.2;
/** A longer one is a stall, such as a lost primary, and no rate, in ms. */
const LONGEST_INTERVAL_MS = 150;
/**
 * Before so many intervals nobody is refused by them. After a start the first
 * ones are those of code that is not compiled and connections that are not
 * open; callers refused by them used up their tries before it was over.
 */
const LEAST_INTERVALS = 30;
/** What an interval is taken to be before any was seen, in milliseconds. */
const FIRST_INTERVAL_MS = 10;

/**
 * How fast waiting requests get their places, from those that got one while
 * others waited.
 *
 * Guard: a wait that is worked out from connections or windows is too short
 * wherever other instances use the same members. Requests then waited for half
 * of their time and were refused after it, when their callers could hardly try
 * elsewhere any more. What was seen here includes what others take.
 */
export class DrainRate {
  private intervalMs = FIRST_INTERVAL_MS;
  private intervals = 0;
  /** When the last one was placed, while others still waited. */
  private lastAt: number | undefined;

  /** Takes note that one was placed, and whether others of its kind wait. */
  onPlaced(now: number, othersWait: boolean): void {
    const interval = now - (this.lastAt ?? -Infinity);
    if (interval < LONGEST_INTERVAL_MS) {
      this.intervals++;
      this.intervalMs += (interval - this.intervalMs) * WEIGHT;
    }
    this.lastAt = othersWait ? now : undefined;
  }

  /** Takes note that one waits, so that the time from now on counts. */
  onWaiting(now: number): void {
    this.lastAt ??= now;
  }

  /** Takes note that nobody waits any more, for whatever reason. */
  onEmpty(): void {
    this.lastAt = undefined;
  }

  /** How long one waits with so many before it, in milliseconds. */
  expectedWaitMs(ahead: number, now: number): number {
    if (ahead === 0 || this.intervals < LEAST_INTERVALS) return 0;
    const stalledMs = now - (this.lastAt ?? now);
    return Math.max(this.drainMs(ahead), stalledMs);
  }

  /** How long so many take to be placed, without a stall, in milliseconds. */
  drainMs(count: number): number {
    return this.intervals < LEAST_INTERVALS ? 0 : count * this.intervalMs;
  }
}

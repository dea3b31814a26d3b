/** A count that holds for so long is the usual one, in milliseconds. */
const USUAL_AFTER_MS = 5_000;

/**
 * How many proxies there usually are, for those that lead control later.
 *
 * After a full stop nobody knows how many come back. Told nothing, each proxy
 * took as many connections as there were for all of them: the first ones held
 * four to each primary, and others had none for more than a second.
 */
export class StableCount {
  private current = 0;
  private since = -Infinity;

  /** Takes a look; the count to note, where another one is usual by now. */
  observe(count: number, recorded: number, now: number): number | undefined {
    if (count !== this.current) {
      this.current = count;
      this.since = now;
    }
    const isUsual = now - this.since >= USUAL_AFTER_MS;
    return isUsual && count !== recorded && count > 0 ? count : undefined;
  }
}

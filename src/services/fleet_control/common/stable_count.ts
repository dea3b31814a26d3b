/** How long a count must stay unchanged to be stable. */
const STABLE_AFTER_MS = 5_000;

/**
 * Detects when the number of proxies is stable, so that it can be recorded for
 * later leaders.
 *
 * After a restart of the whole fleet, a leader cannot know how many proxies
 * will return. Without a recorded number, the first ones would open the
 * connections of all.
 */
export class StableCount {
  private current = 0;
  private unchangedSince = -Infinity;

  /**
   * Observes the current count. Returns the count to record if it is stable and
   * differs from the recorded one.
   */
  observe(count: number, recorded: number, now: number): number | undefined {
    if (count !== this.current) {
      this.current = count;
      this.unchangedSince = now;
    }
    const isStable = now - this.unchangedSince >= STABLE_AFTER_MS;
    return isStable && count !== recorded && count > 0 ? count : undefined;
  }
}

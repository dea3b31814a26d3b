/** Of this many turns, each queued priority gets at least one. */
const TURNS_PER_SHARE = 10;
const SKIPS_PER_SHARE = TURNS_PER_SHARE - 1;
/** Bounds the turns that a priority gets in a row after it used none. */
const MAX_SKIP_COUNT = 2 * SKIPS_PER_SHARE;

/**
 * Gives each queued priority a minimum share of the turns, so that urgent
 * requests beyond the capacity do not starve the less urgent ones.
 */
export class MinShares {
  /** Turns that other priorities got while a priority was queued. */
  private readonly skipCounts = new Map<number, number>();

  /** The order in which priorities are offered the next turn. */
  order(queued: readonly number[]): number[] {
    const sorted = [...queued].sort((a, b) => a - b);
    const due = sorted.filter(priority => this.isDue(priority));
    const others = sorted.filter(priority => !this.isDue(priority));
    return [...due, ...others];
  }

  /** Records the turn of a priority while others are queued. */
  onServed(priority: number, queued: readonly number[]): void {
    const skipCount = (this.skipCounts.get(priority) ?? 0) - SKIPS_PER_SHARE;
    this.skipCounts.set(priority, Math.max(0, skipCount));
    for (const other of [...this.skipCounts.keys()]) {
      if (!queued.includes(other)) this.skipCounts.delete(other);
    }
    for (const other of queued) {
      if (other === priority) continue;
      const skipCount = (this.skipCounts.get(other) ?? 0) + 1;
      this.skipCounts.set(other, Math.min(skipCount, MAX_SKIP_COUNT));
    }
  }

  clear(): void {
    this.skipCounts.clear();
  }

  private isDue(priority: number): boolean {
    return (this.skipCounts.get(priority) ?? 0) >= SKIPS_PER_SHARE;
  }
}

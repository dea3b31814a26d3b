/** Of so many places, each priority that waits gets one at least. */
const PLACES_PER_TURN = 10;
const PASSED_PER_TURN = PLACES_PER_TURN - 1;
/** What could use no place for long does not get a row of them then. */
const MOST_PASSED = 2 * PASSED_PER_TURN;

/**
 * The least part of the places that each waiting priority gets. Strict order
 * alone would let the least urgent starve for as long as urgent work fills the
 * members; with this it goes on at a tenth.
 */
export class MinShares {
  /** Places that went to others while a priority waited. */
  private readonly passed = new Map<number, number>();

  /** The order in which priorities are offered the next place. */
  order(waiting: readonly number[]): number[] {
    const inOrder = [...waiting].sort((a, b) => a - b);
    const owed = inOrder.filter(priority => this.isOwed(priority));
    const others = inOrder.filter(priority => !this.isOwed(priority));
    return [...owed, ...others];
  }

  /** Takes note of a place that was given while priorities wait. */
  onServed(priority: number, waiting: readonly number[]): void {
    const left = (this.passed.get(priority) ?? 0) - PASSED_PER_TURN;
    this.passed.set(priority, Math.max(0, left));
    for (const other of [...this.passed.keys()]) {
      if (!waiting.includes(other)) this.passed.delete(other);
    }
    for (const other of waiting) {
      if (other === priority) continue;
      const passed = (this.passed.get(other) ?? 0) + 1;
      this.passed.set(other, Math.min(passed, MOST_PASSED));
    }
  }

  clear(): void {
    this.passed.clear();
  }

  private isOwed(priority: number): boolean {
    return (this.passed.get(priority) ?? 0) >= PASSED_PER_TURN;
  }
}

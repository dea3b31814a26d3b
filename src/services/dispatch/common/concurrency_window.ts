/** After a refusal this part of what ran is tried further on. */
const DECREASE = 0.7;
/** A window this wide is no limit any more: members queue 16 to 24. */
const WIDEST = 32;

/**
 * How many transactions an instance runs on one member at a time.
 *
 * A member has two to five slots and a short queue that all instances share,
 * without a word between them. Where it refuses for want of room, the window
 * shrinks by a third; each answer widens it a little. What does not fit waits
 * here, in order of priority, and is refused here in time, instead of coming
 * back from the member again and again.
 */
export class ConcurrencyWindow {
  private width = WIDEST;

  /** Transactions at a time. */
  get size(): number {
    return Math.max(1, Math.floor(this.width));
  }

  allows(running: number): boolean {
    return running < this.size;
  }

  onAnswer(): void {
    this.width = Math.min(WIDEST, this.width + 1 / this.width);
  }

  onBusy(running: number): void {
    const reached = Math.min(this.width, running);
    this.width = Math.max(1, reached * DECREASE);
  }
}

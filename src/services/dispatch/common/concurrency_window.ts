const DECREASE_FACTOR = 0.7;
/** Above what a member runs and queues, so that it sets no limit. */
const MAX_WINDOW = 32;

/**
 * Limits the transactions that an instance runs on one member at a time.
 *
 * Instances share a member's slots and its short queue without coordination.
 * The window uses additive increase and multiplicative decrease, so that excess
 * requests are queued here by priority instead of being refused by the member.
 */
export class ConcurrencyWindow {
  private window = MAX_WINDOW;

  /** Transactions that may run at a time, at least one. */
  get size(): number {
    return Math.max(1, Math.floor(this.window));
  }

  allows(runningCount: number): boolean {
    return runningCount < this.size;
  }

  onAnswer(): void {
    this.window = Math.min(MAX_WINDOW, this.window + 1 / this.window);
  }

  onBusy(runningCount: number): void {
    const usedWindow = Math.min(this.window, runningCount);
    this.window = Math.max(1, usedWindow * DECREASE_FACTOR);
  }
}

import type {RefusedPermit} from './permit_counting';

/**
 * The refusals that one operation got. Guard: each counter holds only a share
 * of the limit. Unless another one is tried, operations of small accounts below
 * their limits are refused where many of them reach the same counter.
 */
export class RefusalTracker {
  private refusalCount = 0;
  private availableAt = Infinity;

  /** @param maxFurtherCounters How many to try after the first refusal. */
  constructor(private readonly maxFurtherCounters: number) {}

  add(requestedAt: number, {retryAfterMs}: RefusedPermit): void {
    this.refusalCount++;
    this.availableAt = Math.min(this.availableAt, requestedAt + retryAfterMs);
  }

  get canTryAnother(): boolean {
    return this.refusalCount <= this.maxFurtherCounters;
  }

  /** Returns the earliest retry time of all; undefined where none refused. */
  refusalAt(now: number): RefusedPermit | undefined {
    if (this.refusalCount === 0) return undefined;
    const retryAfterMs = Math.max(1, Math.ceil(this.availableAt - now));
    return {kind: 'refused', retryAfterMs};
  }
}

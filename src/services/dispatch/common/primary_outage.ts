/** Detection, the choice of a successor, and the promotion. */
const EXPECTED_FAILOVER_MS = 1_800;
/** The promotion alone: the member already reports that it is not primary. */
const EXPECTED_PROMOTION_MS = 600;
/** An overdue outage is expected to last this fraction of its length more. */
const OVERDUE_FRACTION = 0.5;

/** Whether the primary serves this instance, and if not, why. */
export type PrimaryState = 'serving' | 'unreachable' | 'replaced';

/**
 * Estimates when a service without a primary will have one again.
 *
 * Requests that can be served before their deadline stay queued; others are
 * refused at once with a retry delay, since callers retry only a few times.
 */
export class PrimaryOutage {
  private startedAt = 0;
  private lastEndedAt = -Infinity;
  private state: PrimaryState = 'serving';

  /** Records whether the primary serves this instance. */
  setState(state: PrimaryState, now: number): void {
    if (this.state === 'serving') this.startedAt = now;
    else if (state === 'serving') this.lastEndedAt = now;
    this.state = state;
  }

  /** When the last outage ended; -Infinity before the first. */
  get endedAt(): number {
    return this.lastEndedAt;
  }

  /** When the outage is expected to end; undefined without an outage. */
  expectedEndAt(now: number): number | undefined {
    if (this.state === 'serving') return undefined;
    const isUnreachable = this.state === 'unreachable';
    const expectedAt =
      this.startedAt +
      (isUnreachable ? EXPECTED_FAILOVER_MS : EXPECTED_PROMOTION_MS);
    if (now < expectedAt) return expectedAt;
    return now + (now - this.startedAt) * OVERDUE_FRACTION;
  }
}

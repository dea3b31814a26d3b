/**
 * How long a service usually has no primary, in milliseconds: silence is
 * noticed after 0.5 s, logs are compared in 0.1 to 0.3 s, and a promotion is
 * carried out in 0.3 to 1 s.
 */
const USUAL_LOSS_MS = 1_800;
/**
 * A member that says itself that it does not lead is being replaced, or was
 * just now: what is left is the promotion, or the news of it, in milliseconds.
 */
const USUAL_CHANGE_MS = 600;
/** Past that, it is taken to last for this part of its length so far. */
const OVERDUE_PART = 0.5;

/** Whether the primary serves this instance, and if not, why. */
export type PrimaryState = 'serving' | 'lost' | 'deposed';

/**
 * When a service that lost its primary will have one again, as far as anybody
 * can tell.
 *
 * A request that would be served before its deadline waits. Any other one is
 * refused at once with the time to come back: callers try two or three times
 * only, and tries within the outage would all be lost.
 */
export class PrimaryOutage {
  private since = 0;
  private ended = -Infinity;
  private state: PrimaryState = 'serving';

  /** Takes note of how the primary serves this instance. */
  setState(state: PrimaryState, now: number): void {
    if (this.state === 'serving') this.since = now;
    else if (state === 'serving') this.ended = now;
    this.state = state;
  }

  /** When the last one ended; -Infinity before any did. */
  get endedAt(): number {
    return this.ended;
  }

  /** When it is expected to end; undefined while there is a primary. */
  expectedEndAt(now: number): number | undefined {
    if (this.state === 'serving') return undefined;
    const isLost = this.state === 'lost';
    const usual = this.since + (isLost ? USUAL_LOSS_MS : USUAL_CHANGE_MS);
    if (now < usual) return usual;
    return now + (now - this.since) * OVERDUE_PART;
  }
}

import type {Clock} from '../../base/common/clock';

/** A question that nobody answered is asked again after this time. */
const PATIENCE_MS = 50;

/**
 * Asks a service's targets for their positions on behalf of sessions that
 * arrive. One question is under way at a time and the sessions that arrive
 * meanwhile share the next: a mass reconnect costs a question for each round
 * trip, not one for each session.
 */
export class ArrivalQuestion {
  private askedAt: number | undefined;
  private wanted = false;

  constructor(
    private readonly clock: Clock,
    private readonly ask: () => void,
  ) {}

  /** A session needs an answer to a question asked from now on. */
  want(): void {
    if (this.askedAt === undefined) this.askNow();
    else this.wanted = true;
  }

  /** An answer came to what was asked at a time. */
  onAnswer(askedAt: number): void {
    if (this.askedAt === undefined || askedAt < this.askedAt) return;
    this.askedAt = undefined;
    if (this.wanted) this.askNow();
  }

  onTick(now: number): void {
    this.onAnswer(now - PATIENCE_MS);
  }

  private askNow(): void {
    this.wanted = false;
    this.askedAt = this.clock.now();
    this.ask();
  }
}

import type {Clock} from '../../base/common/clock';

/** A poll without a reply ends after this time. */
const REPLY_TIMEOUT_MS = 50;

/**
 * Polls the targets of a service for their positions, for new sessions. One
 * poll is pending at a time and later sessions share the next one, so that a
 * mass reconnect causes one poll per round trip instead of one per session.
 */
export class PositionPoll {
  private sentAt: number | undefined;
  private isNextRequested = false;

  constructor(
    private readonly clock: Clock,
    private readonly pingTargets: () => void,
  ) {}

  /** Requests positions that targets report after this call. */
  request(): void {
    if (this.sentAt === undefined) this.send();
    else this.isNextRequested = true;
  }

  /** Handles a reply to a ping sent at a time on the monotonic clock. */
  onReply(requestedAt: number): void {
    if (this.sentAt === undefined || requestedAt < this.sentAt) return;
    this.sentAt = undefined;
    if (this.isNextRequested) this.send();
  }

  onTick(now: number): void {
    this.onReply(now - REPLY_TIMEOUT_MS);
  }

  private send(): void {
    this.isNextRequested = false;
    this.sentAt = this.clock.now();
    this.pingTargets();
  }
}

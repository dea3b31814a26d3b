import type {SeededRandom} from '../../../base/common/random';
import {ConcurrencyWindow} from '../../dispatch/common/concurrency_window';

/** A slower answer, as a fraction of the timeout, shows that a queue grows. */
const SLOW_FRACTION = 0.4;
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;

/** The outcome of one request. */
export interface RequestOutcome {
  readonly tookMs: number;
  /** Requests without an answer, including this one. */
  readonly pendingCount: number;
}

/**
 * Limits the requests that are pending at one peer by how fast it answers.
 *
 * Guard: a peer that gets more requests than it can answer in time works only
 * on requests that nobody waits for any more. None would succeed, even long
 * after the overload.
 */
export class RequestWindow {
  private readonly window = new ConcurrencyWindow();
  private pauseMs = 0;
  private pausedUntil = -Infinity;

  /** @param timeoutMs How long a request waits for its answer. */
  constructor(
    private readonly timeoutMs: number,
    private readonly random: Pick<SeededRandom, 'fraction'>,
  ) {}

  /** @param now Time on the owner's clock, as in all methods. */
  allows(pendingCount: number, now: number): boolean {
    return now >= this.pausedUntil && this.window.allows(pendingCount);
  }

  onAnswer({tookMs, pendingCount}: RequestOutcome): void {
    if (tookMs > this.timeoutMs * SLOW_FRACTION) {
      return this.window.onBusy(pendingCount);
    }
    this.pauseMs = 0;
    this.window.onAnswer();
  }

  /**
   * A request got no answer in time. Where the window cannot shrink further,
   * requests pause, each time for longer, since many proxies with one request
   * each can overload a counter as well.
   */
  onTimeout(pendingCount: number, now: number): void {
    if (this.window.size === 1 && now >= this.pausedUntil) {
      const doubledMs = Math.max(MIN_PAUSE_MS, this.pauseMs * 2);
      this.pauseMs = Math.min(MAX_PAUSE_MS, doubledMs);
      const spread = 0.5 + this.random.fraction();
      this.pausedUntil = now + this.pauseMs * spread;
    }
    this.window.onBusy(pendingCount);
  }
}

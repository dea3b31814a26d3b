import {OUTSTANDING_FRACTION} from './permit_bucket';
import {add, max, NO_SHARE} from './rate_limit_math';
import type {RateLimit} from './token_bucket';

interface SentShare {
  /** Number of the list that carried the share. */
  readonly number: number;
  readonly rateLimit: RateLimit;
}

/** Permits that a counter granted before it lost its shares. */
interface OutstandingPermits {
  readonly depth: number;
  readonly expiresAt: number;
}

/**
 * The share of one account at one counter, as the control leader knows it:
 * the one that the counter acknowledged, and those sent since.
 */
export class TrackedShare {
  /** The first one is acknowledged. */
  private sent: SentShare[];
  /** The maximum of all shares in `sent`. */
  private inUse: RateLimit;
  private outstanding: OutstandingPermits | undefined;

  constructor(
    acknowledged = NO_SHARE,
    /** Whether it has to be sent even where it did not change. */
    public mustSend = true,
    /** The version of the account's limit that was last sent in full. */
    public limitVersion = 0,
  ) {
    this.sent = [{number: 0, rateLimit: acknowledged}];
    this.inUse = acknowledged;
  }

  get lastSent(): RateLimit {
    return this.sent.at(-1)!.rateLimit;
  }

  /**
   * Returns the most that the counter may still apply. Guard: a list may be
   * lost or late. If a lowered share counted before the counter applies it, the
   * difference would be in use twice and the account exceed its limit.
   */
  maxInUse(now: number): RateLimit {
    const {inUse, outstanding} = this;
    return outstanding ? add(inUse, this.outstandingAt(now)) : inUse;
  }

  /** Permits from before the counter lost its shares that may be in use. */
  outstandingAt(now: number): RateLimit {
    if (!this.outstanding || now >= this.outstanding.expiresAt) return NO_SHARE;
    return {perSecond: 0, depth: this.outstanding.depth};
  }

  recordSent(rateLimit: RateLimit, number: number): void {
    this.sent.push({number, rateLimit});
    this.inUse = max(this.inUse, rateLimit);
    this.mustSend = false;
  }

  /** The counter applied the list with a number. */
  acknowledge(number: number): void {
    const index = this.sent.findLastIndex(list => list.number <= number);
    if (index <= 0) return;
    this.sent.splice(0, index);
    this.inUse = this.sent
      .map(({rateLimit}) => rateLimit)
      .reduce((largest, rateLimit) => max(largest, rateLimit));
  }

  /** The counter lost the share; its permits expire at a time. */
  onDidLose(expiresAt: number, now: number): void {
    this.outstanding = {
      depth: this.maxInUse(now).depth * OUTSTANDING_FRACTION,
      expiresAt,
    };
    this.sent = [{number: 0, rateLimit: NO_SHARE}];
    this.inUse = NO_SHARE;
    this.mustSend = true;
  }
}

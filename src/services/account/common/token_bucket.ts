/** A rate of tokens, and how many of them a bucket stores. */
export interface RateLimit {
  readonly perSecond: number;
  readonly depth: number;
}

/** Adds tokens at a rate and stores them up to a depth. */
export class TokenBucket {
  private filledAt: number;

  /** @param now Time on the owner's clock, as in all methods. */
  constructor(
    private currentLimit: RateLimit,
    private tokens: number,
    now: number,
  ) {
    this.filledAt = now;
  }

  get rateLimit(): RateLimit {
    return this.currentLimit;
  }

  /** Returns the stored tokens; below 0 where some were taken ahead. */
  level(now: number): number {
    this.fill(now);
    return this.tokens;
  }

  /** Changes rate and depth; tokens beyond the new depth are lost. */
  setRateLimit(rateLimit: RateLimit, now: number): void {
    this.fill(now);
    this.currentLimit = rateLimit;
    this.tokens = Math.min(this.tokens, rateLimit.depth);
  }

  /** Takes one token if it is stored. */
  tryTake(now: number): boolean {
    if (this.level(now) < 1) return false;
    this.tokens--;
    return true;
  }

  /** Takes tokens even where they are not added yet. */
  takeAhead(count: number, now: number): void {
    this.fill(now);
    this.tokens -= count;
  }

  /** Puts unused tokens back. */
  refund(count: number, now: number): void {
    this.tokens = Math.min(this.currentLimit.depth, this.level(now) + count);
  }

  /** Time until a token is stored, in milliseconds; Infinity for never. */
  waitMs(now: number): number {
    const missing = 1 - this.level(now);
    if (missing <= 0) return 0;
    const {perSecond, depth} = this.currentLimit;
    return depth < 1 ? Infinity : (missing / perSecond) * 1_000;
  }

  private fill(now: number): void {
    const {perSecond, depth} = this.currentLimit;
    const added = ((now - this.filledAt) / 1_000) * perSecond;
    this.filledAt = now;
    if (added > 0) this.tokens = Math.min(depth, this.tokens + added);
  }
}

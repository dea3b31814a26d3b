/** How fast tokens come, and how many can wait. */
export interface RateLimit {
  /** Tokens a second. */
  readonly perSecond: number;
  readonly depth: number;
}

/** Tokens that come at a rate and wait up to a depth. */
export class TokenBucket {
  private filledAt: number;

  /** @param now On the owner's clock, in milliseconds, as everywhere here. */
  constructor(
    private currentTerms: RateLimit,
    private tokens: number,
    now: number,
  ) {
    this.filledAt = now;
  }

  get rateLimit(): RateLimit {
    return this.currentTerms;
  }

  /** Tokens that wait now; below 0 where more were taken than there were. */
  level(now: number): number {
    this.fill(now);
    return this.tokens;
  }

  /** Changes the terms; what waits beyond the new depth is lost. */
  setRateLimit(terms: RateLimit, now: number): void {
    this.fill(now);
    this.currentTerms = terms;
    this.tokens = Math.min(this.tokens, terms.depth);
  }

  /** Takes one token if there is one. */
  tryTake(now: number): boolean {
    if (this.level(now) < 1) return false;
    this.tokens--;
    return true;
  }

  /** Takes tokens whether they are there or not. */
  drain(count: number, now: number): void {
    this.fill(now);
    this.tokens -= count;
  }

  /** Puts tokens back that were not used. */
  refund(count: number, now: number): void {
    this.tokens = Math.min(this.currentTerms.depth, this.level(now) + count);
  }

  /** In how many milliseconds there is a token; Infinity where none comes. */
  waitMs(now: number): number {
    const missing = 1 - this.level(now);
    if (missing <= 0) return 0;
    const {perSecond, depth} = this.currentTerms;
    return depth < 1 ? Infinity : (missing / perSecond) * 1_000;
  }

  private fill(now: number): void {
    const {perSecond, depth} = this.currentTerms;
    const came = ((now - this.filledAt) / 1_000) * perSecond;
    this.filledAt = now;
    if (came > 0) this.tokens = Math.min(depth, this.tokens + came);
  }
}

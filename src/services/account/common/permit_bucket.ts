import {TokenBucket, type RateLimit} from './token_bucket';

/** How long permits are valid after a counter granted them. */
export const PERMIT_VALID_MS = 500;
/** An operation waits for a token that is added within this time. */
const MAX_WAIT_MS = 150;
/** The fraction of the depth that may be outstanding in permits. */
export const OUTSTANDING_FRACTION = 0.5;
/** Further permits leave this fraction of the depth in the bucket. */
const MIN_LEVEL_FRACTION = 0.5;
/** Permits that were granted earlier cannot be returned. */
const MAX_RETURN_AGE_MS = 1_000;

/** Grants within this time are recorded as one. */
const GRANT_SLOT_MS = 20;

interface Grant {
  lastAt: number;
  /** Operations that may still be returned. */
  count: number;
  /** Permits of these that are outstanding until they expire. */
  outstanding: number;
}

/**
 * The tokens of an account at one counter. Guard: stored tokens and outstanding
 * permits never exceed the depth together. Otherwise a flood after an idle time
 * would use both, and the account would exceed its limit by the depth.
 */
export class PermitBucket {
  private readonly bucket: TokenBucket;
  private grants: Grant[] = [];

  constructor(
    private currentLimit: RateLimit,
    now: number,
  ) {
    // Guard: a new share starts without tokens, as they may still be in use at
    // the counter that had the share before.
    this.bucket = new TokenBucket(currentLimit, 0, now);
  }

  get rateLimit(): RateLimit {
    return this.currentLimit;
  }

  setRateLimit(rateLimit: RateLimit, now: number): void {
    this.expire(now);
    this.currentLimit = rateLimit;
    this.resize(now);
  }

  /** Adds the tokens of a time in which nobody had the share. */
  add(tokens: number, now: number): void {
    this.expire(now);
    this.bucket.refund(tokens, now);
  }

  /**
   * Takes one token, and further ones while many are available.
   *
   * @return The number of permits; 0 where no token is available.
   */
  take(wanted: number, now: number): number {
    this.expire(now);
    if (!this.bucket.tryTake(now)) return 0;
    const further = Math.min(wanted - 1, this.available(now));
    this.bucket.takeAhead(further, now);
    this.record(1 + further, further, now);
    return 1 + further;
  }

  /**
   * Takes the next token if it is added soon.
   *
   * @return Time until then, in milliseconds; undefined where it is too long.
   */
  reserve(now: number): number | undefined {
    this.expire(now);
    const waitMs = this.bucket.waitMs(now);
    if (waitMs > MAX_WAIT_MS) return undefined;
    this.bucket.takeAhead(1, now);
    this.record(1, 0, now);
    return waitMs;
  }

  /** Time until the next token is available. */
  waitMs(now: number): number {
    this.expire(now);
    const waitMs = this.bucket.waitMs(now);
    if (Number.isFinite(waitMs)) return waitMs;
    const first = this.grants.find(({outstanding}) => outstanding > 0);
    return first ? first.lastAt + PERMIT_VALID_MS - now : Infinity;
  }

  /** Puts the tokens of recent grants back. */
  returnPermits(count: number, now: number): void {
    this.expire(now);
    let remaining = count;
    for (const grant of this.grants) {
      const returned = Math.min(remaining, grant.count);
      grant.count -= returned;
      grant.outstanding = Math.min(grant.outstanding, grant.count);
      remaining -= returned;
    }
    this.expire(now);
    this.bucket.refund(count - remaining, now);
  }

  /** Further permits that may be granted with one. */
  private available(now: number): number {
    const {depth} = this.currentLimit;
    const headroom = depth * OUTSTANDING_FRACTION - this.outstanding;
    const surplus = this.bucket.level(now) - depth * MIN_LEVEL_FRACTION;
    return Math.max(0, Math.floor(Math.min(headroom, surplus)));
  }

  private record(count: number, outstanding: number, now: number): void {
    const last = this.grants.at(-1);
    if (last && slotOf(last.lastAt) === slotOf(now)) {
      last.lastAt = now;
      last.count += count;
      last.outstanding += outstanding;
    } else {
      this.grants.push({lastAt: now, count, outstanding});
    }
    this.resize(now);
  }

  private get outstanding(): number {
    return this.grants.reduce((sum, {outstanding}) => sum + outstanding, 0);
  }

  /** Expires permits, each as of its own time. */
  private expire(now: number): void {
    for (const grant of this.grants) {
      const expiresAt = grant.lastAt + PERMIT_VALID_MS;
      if (expiresAt > now) break;
      if (grant.outstanding === 0) continue;
      grant.outstanding = 0;
      this.resize(expiresAt);
    }
    const kept = this.grants.findIndex(
      ({lastAt}) => now < lastAt + MAX_RETURN_AGE_MS,
    );
    this.grants.splice(0, kept < 0 ? this.grants.length : kept);
    this.resize(now);
  }

  /** Reduces the depth of the bucket by the outstanding permits. */
  private resize(now: number): void {
    const {perSecond, depth} = this.currentLimit;
    this.bucket.setRateLimit({perSecond, depth: depth - this.outstanding}, now);
  }
}

function slotOf(at: number): number {
  return Math.floor(at / GRANT_SLOT_MS);
}

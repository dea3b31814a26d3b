import {TokenBucket, type RateLimit} from './token_bucket';

/** How long permits beyond the first of an answer are good, in milliseconds. */
export const PERMIT_VALID_MS = 500;
/** A token that comes within this time is waited for, in milliseconds. */
const MOST_WAIT_MS = 150;
/** The part of the depth for permits that are out. */
export const PERMIT_PART = 0.5;
/** Permits beyond the first leave this part of the depth in the bucket. */
const KEEP_PART = 0.5;
/** What was granted longer ago does not come back, in milliseconds. */
const REFUND_MS = 1_000;

/** Grants within this time are kept as one, in milliseconds. */
const SLOT_MS = 20;

/** What was granted within a slot. */
interface Grant {
  /** When the last of it was. */
  at: number;
  /** Operations that may still come back. */
  count: number;
  /** Permits among them that may be used until their validity ends. */
  extra: number;
}

/**
 * The tokens of an account at one counter. Guard: what waits and the permits
 * that are out are never more than the depth together, or a flood after a calm
 * would run both: the depth beyond the limit.
 */
export class PermitBucket {
  private readonly bucket: TokenBucket;
  private grants: Grant[] = [];

  constructor(
    private shareTerms: RateLimit,
    now: number,
  ) {
    // Guard: a share that is new brings no tokens; they would be there twice.
    this.bucket = new TokenBucket(shareTerms, 0, now);
  }

  get rateLimit(): RateLimit {
    return this.shareTerms;
  }

  setRateLimit(terms: RateLimit, now: number): void {
    this.fit(now);
    this.shareTerms = terms;
    this.resize(now);
  }

  /** Adds tokens that came while nobody had the share. */
  add(tokens: number, now: number): void {
    this.fit(now);
    this.bucket.refund(tokens, now);
  }

  /**
   * Takes a token, and more where plenty wait.
   *
   * @return Operations granted; 0 where none is.
   */
  take(wanted: number, now: number): number {
    this.fit(now);
    if (!this.bucket.tryTake(now)) return 0;
    const extra = Math.min(wanted - 1, this.plenty(now));
    this.bucket.drain(extra, now);
    this.note(1 + extra, extra, now);
    return 1 + extra;
  }

  /**
   * Takes the next token if it comes soon.
   *
   * @return When, in milliseconds; undefined where it comes later.
   */
  reserve(now: number): number | undefined {
    this.fit(now);
    const waitMs = this.bucket.waitMs(now);
    if (waitMs > MOST_WAIT_MS) return undefined;
    this.bucket.drain(1, now);
    this.note(1, 0, now);
    return waitMs;
  }

  /** When the next token comes, in milliseconds. */
  waitMs(now: number): number {
    this.fit(now);
    const waitMs = this.bucket.waitMs(now);
    if (Number.isFinite(waitMs)) return waitMs;
    const first = this.grants.find(({extra}) => extra > 0);
    return first ? first.at + PERMIT_VALID_MS - now : Infinity;
  }

  /** Takes tokens back that were granted a moment ago. */
  takeBack(count: number, now: number): void {
    this.fit(now);
    let left = count;
    for (const grant of this.grants) {
      const part = Math.min(left, grant.count);
      grant.count -= part;
      grant.extra = Math.min(grant.extra, grant.count);
      left -= part;
    }
    this.fit(now);
    this.bucket.refund(count - left, now);
  }

  private plenty(now: number): number {
    const {depth} = this.shareTerms;
    const room = depth * PERMIT_PART - this.out;
    const waiting = this.bucket.level(now) - depth * KEEP_PART;
    return Math.max(0, Math.floor(Math.min(room, waiting)));
  }

  private note(count: number, extra: number, now: number): void {
    const last = this.grants.at(-1);
    if (last && slotOf(last.at) === slotOf(now)) {
      last.at = now;
      last.count += count;
      last.extra += extra;
    } else {
      this.grants.push({at: now, count, extra});
    }
    this.resize(now);
  }

  /** Permits that are out. */
  private get out(): number {
    return this.grants.reduce((sum, {extra}) => sum + extra, 0);
  }

  /** Ends permits whose time is over, each at its time. */
  private fit(now: number): void {
    for (const grant of this.grants) {
      const endsAt = grant.at + PERMIT_VALID_MS;
      if (endsAt > now) break;
      if (grant.extra === 0) continue;
      grant.extra = 0;
      this.resize(endsAt);
    }
    const kept = this.grants.findIndex(({at}) => now < at + REFUND_MS);
    this.grants.splice(0, kept < 0 ? this.grants.length : kept);
    this.resize(now);
  }

  /** Leaves room in the bucket for the permits that are out. */
  private resize(now: number): void {
    const {perSecond, depth} = this.shareTerms;
    this.bucket.setRateLimit({perSecond, depth: depth - this.out}, now);
  }
}

function slotOf(at: number): number {
  return Math.floor(at / SLOT_MS);
}

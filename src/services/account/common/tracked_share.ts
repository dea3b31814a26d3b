import {PERMIT_PART} from './permit_bucket';
import {greater, NO_SHARE, plus} from './rate_limit_math';
import type {RateLimit} from './token_bucket';

interface ToldShare {
  readonly number: number;
  readonly terms: RateLimit;
}

/** Permits that a counter gave before it lost its shares. */
interface StrayPermits {
  readonly depth: number;
  readonly until: number;
}

/**
 * The share of one account at one counter, as the leader of control knows it:
 * what is in force there, and what it was told since.
 */
export class ShareHolding {
  /** The first one is in force. */
  private lists: ToldShare[];
  /** The most of all lists. */
  private inUse: RateLimit;
  private stray: StrayPermits | undefined;

  constructor(
    inForce = NO_SHARE,
    /** Whether the counter has to be told of it in any case. */
    public isNews = true,
    /** The limit that it was last told a share of. */
    public edition = 0,
  ) {
    this.lists = [{number: 0, terms: inForce}];
    this.inUse = inForce;
  }

  /** What it was told last. */
  get told(): RateLimit {
    return this.lists.at(-1)!.terms;
  }

  /**
   * The most that the counter may still keep to. Guard: a list may be lost or
   * late; a share that is counted as lowered before the counter keeps to less
   * would be in use twice, and the account over its limit.
   */
  most(now: number): RateLimit {
    const {inUse, stray} = this;
    return stray ? plus(inUse, this.strayAt(now)) : inUse;
  }

  /** Permits that an earlier life of the counter gave and that may be out. */
  strayAt(now: number): RateLimit {
    if (!this.stray || now >= this.stray.until) return NO_SHARE;
    return {perSecond: 0, depth: this.stray.depth};
  }

  tell(terms: RateLimit, number: number): void {
    this.lists.push({number, terms});
    this.inUse = greater(this.inUse, terms);
    this.isNews = false;
  }

  /** The counter keeps to the list with a number. */
  acknowledge(number: number): void {
    const inForce = this.lists.findLastIndex(one => one.number <= number);
    if (inForce <= 0) return;
    this.lists.splice(0, inForce);
    this.inUse = this.lists
      .map(({terms}) => terms)
      .reduce((most, terms) => greater(most, terms));
  }

  /** The counter lost the share; permits that it gave run until a time. */
  lose(until: number, now: number): void {
    this.stray = {depth: this.most(now).depth * PERMIT_PART, until};
    this.lists = [{number: 0, terms: NO_SHARE}];
    this.inUse = NO_SHARE;
    this.isNews = true;
  }
}

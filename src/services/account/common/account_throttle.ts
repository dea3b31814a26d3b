import type {Clock} from '../../../base/common/clock';
import {err, ok, type Result} from '../../../base/common/outcome';
import type {
  AccountEntry,
  AccountLimit,
  AccountShare,
  AccountUse,
} from '../../../schema/generated/fleet';
import {DecayedRate} from './decayed_rate';
import {TokenBucket, type BucketTerms} from './token_bucket';

/** Why an operation of an account may not run now. */
export interface OverLimit {
  /** When the account has room again, in milliseconds. */
  readonly retryAfterMs: number;
  /** What decided, for the log. */
  readonly detail: string;
}

/** Decides whether operations of accounts may run on this instance. */
export interface OperationLimits {
  /** Counts an operation in, or says when there is room for it. */
  admit(account: string): Result<void, OverLimit>;
  /** An operation that was counted in did not run after all. */
  refund(account: string): void;
}

/**
 * Without an answer of control for this long, nobody adds up what all run, in
 * milliseconds: a renewal, a confirmation and two ways take up to 0.55 s.
 */
const OUT_OF_TOUCH_MS = 700;
/**
 * Out of touch, an account goes on at what it asked for here when control last
 * answered, and this part more. Guard: each instance does so, and all together
 * stay below the limit even where callers come in crowds just then.
 */
const GROWTH = 1.25;
/** Besides one operation, what it asks for in this time may come at once. */
const DEPTH_MS = 500;
/** A retry is not asked for later than this, in milliseconds. */
const MOST_RETRY_MS = 5_000;

/** One account as far as this instance runs its work. */
class Account {
  private readonly demand: DecayedRate;
  private bucket: TokenBucket | undefined;
  private isShare = false;
  /** Operations a second when control last answered. */
  private usual = 0;
  run = 0;
  refused = 0;

  constructor(
    public limit: AccountLimit,
    now: number,
  ) {
    this.demand = new DecayedRate(now);
  }

  /** Undefined where it runs without a limit. */
  bucketAt(isInTouch: boolean, now: number): TokenBucket | undefined {
    if (this.isShare) return this.bucket;
    if (isInTouch) this.bucket = undefined;
    else this.bucket ??= this.makeUsual(now);
    return this.bucket;
  }

  note(isRun: boolean, now: number): void {
    this.demand.add(1, now);
    if (isRun) this.run++;
    else this.refused++;
  }

  /** Takes the share that control gives it; undefined where it is free. */
  setShare(terms: BucketTerms | undefined, now: number): void {
    this.isShare = terms !== undefined;
    if (!terms) this.bucket = undefined;
    else if (this.bucket) this.bucket.setTerms(terms, now);
    else this.bucket = new TokenBucket(terms, 1, now);
  }

  noteUsual(now: number): void {
    this.usual = this.demand.perSecond(now);
  }

  private makeUsual(now: number): TokenBucket {
    const usual = this.usual * GROWTH;
    const depth = Math.min(1 + (usual * DEPTH_MS) / 1_000, this.limit.burst);
    const terms = {perSecond: Math.min(usual, this.limit.perSecond), depth};
    return new TokenBucket(terms, depth, now);
  }
}

/**
 * A proxy's part in the limits of accounts: counts what it runs for each, keeps
 * to the shares that control gives it, and while it hears nothing of control
 * lets none grow.
 */
export class AccountThrottle implements OperationLimits {
  private readonly accounts = new Map<string, Account>();
  private heardAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  setAccounts(entries: readonly AccountEntry[]): void {
    const now = this.clock.now();
    const limits = new Map(entries.map(({account, limit}) => [account, limit]));
    for (const account of this.accounts.keys()) {
      if (!limits.get(account)) this.accounts.delete(account);
    }
    for (const [account, limit] of limits) {
      if (!limit) continue;
      const known = this.accounts.get(account);
      if (known) known.limit = limit;
      else this.accounts.set(account, new Account(limit, now));
    }
  }

  /** Takes all shares of this instance; other accounts are free. */
  setShares(shares: readonly AccountShare[]): void {
    const now = this.clock.now();
    const byAccount = new Map(shares.map(share => [share.account, share]));
    for (const [name, account] of this.accounts) {
      account.setShare(byAccount.get(name), now);
    }
  }

  /** Takes note that control counted the report of a question. */
  onDidHear(): void {
    this.heardAt = this.clock.now();
    for (const account of this.accounts.values()) {
      account.noteUsual(this.heardAt);
    }
  }

  admit(name: string): Result<void, OverLimit> {
    const account = this.accounts.get(name);
    if (!account) return ok(undefined);
    const now = this.clock.now();
    const isInTouch = now - this.heardAt < OUT_OF_TOUCH_MS;
    const bucket = account.bucketAt(isInTouch, now);
    const isRun = bucket?.tryTake(now) ?? true;
    account.note(isRun, now);
    if (isRun) return ok(undefined);
    const {perSecond} = bucket!.terms;
    const waitMs = Math.min(bucket!.waitMs(now), MOST_RETRY_MS);
    const rate = perSecond.toFixed(2);
    const {perSecond: whole, burst} = account.limit;
    const detail = `share=${rate}/s of ${whole}/s burst=${burst} control=${isInTouch}`;
    return err({retryAfterMs: Math.ceil(waitMs), detail});
  }

  refund(name: string): void {
    const account = this.accounts.get(name);
    if (!account || account.run === 0) return;
    account.run--;
    account.refused++;
    const now = this.clock.now();
    const isInTouch = now - this.heardAt < OUT_OF_TOUCH_MS;
    account.bucketAt(isInTouch, now)?.refund(1, now);
  }

  /** What was run and refused since the last report. */
  takeReport(): AccountUse[] {
    const uses: AccountUse[] = [];
    for (const [name, account] of this.accounts) {
      const {run, refused} = account;
      if (run + refused === 0) continue;
      uses.push({account: name, run, refused});
      account.run = 0;
      account.refused = 0;
    }
    return uses;
  }
}

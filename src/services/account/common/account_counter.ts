import type {Clock} from '../../../base/common/clock';
import type {
  AccountEntry,
  AccountShare,
  AccountShares,
  AccountUse,
} from '../../../schema/generated/fleet';
import {
  MAX_RETRY_MS,
  SHARE_LEASE_MS,
  type PermitCounter,
  type PermitDecision,
} from './permit_counting';
import {PERMIT_VALID_MS, PermitBucket} from './permit_bucket';

/**
 * How long shares are kept after their lease expired. Shorter than the margin
 * after which control grants them to other counters.
 */
const SHARE_DROP_DELAY_MS = 500;
/**
 * Shares that arrive without a lease are dropped after this fraction of a
 * lease. Control counts them as in use for longer.
 */
const LEASE_WAIT_FRACTION = 2 / 3;

/** The tokens and the use of one account at this counter. */
class CountedAccount {
  run = 0;
  refused = 0;
  /** The latest retry time that was given to a refused caller. */
  private lastRetryAt = -Infinity;

  constructor(readonly bucket: PermitBucket) {}

  requestPermits(wanted: number, now: number): PermitDecision {
    const decision = this.decide(wanted, now);
    if (decision.kind === 'granted') this.run += decision.count;
    else this.refused++;
    return decision;
  }

  returnPermits(count: number, now: number): void {
    this.bucket.returnPermits(count, now);
    const returned = Math.min(count, this.run);
    this.run -= returned;
    this.refused += returned;
  }

  private decide(wanted: number, now: number): PermitDecision {
    const validMs = PERMIT_VALID_MS;
    const count = this.bucket.take(wanted, now);
    if (count > 0) return {kind: 'granted', count, validMs, waitMs: 0};
    const waitMs = this.bucket.reserve(now);
    if (waitMs === undefined) return this.refuse(now);
    return {kind: 'granted', count: 1, validMs, waitMs: Math.ceil(waitMs)};
  }

  /** Spreads retries out, so that each refused caller finds a token. */
  private refuse(now: number): PermitDecision {
    const intervalMs = 1_000 / this.bucket.rateLimit.perSecond;
    const nextTokenAt = now + this.bucket.waitMs(now);
    const retryAt = Math.max(nextTokenAt, this.lastRetryAt + intervalMs, now);
    this.lastRetryAt = Math.min(retryAt, now + MAX_RETRY_MS);
    return {
      kind: 'refused',
      retryAfterMs: Math.ceil(this.lastRetryAt - now),
    };
  }
}

/** A longer idle time adds no tokens. */
const MAX_IDLE_MS = 60_000;

/**
 * Counts the operations of accounts for a region. Grants what its shares allow,
 * and nothing after its lease on them expired.
 */
export class AccountCounter implements PermitCounter {
  private readonly accounts = new Map<string, CountedAccount>();
  private limitedAccounts: ReadonlySet<string> = new Set();
  private listNumber = 0;
  private leaseExpiresAt: number;
  private dropSharesAt: number;
  private lastGrantAt: number;

  /**
   * @param leaseClock Includes time in which the machine was suspended.
   * @param leaseMs How long shares are valid after a lease request.
   * @param tokenClock Is never ahead of the time that passed. Guard: the clock
   *     of the lease follows a time of day that is set forward, and tokens of
   *     such a step would let accounts exceed their limits.
   */
  constructor(
    private readonly leaseClock: Clock,
    private readonly leaseMs = SHARE_LEASE_MS,
    private readonly tokenClock = leaseClock,
  ) {
    this.leaseExpiresAt = leaseClock.now();
    this.dropSharesAt = this.leaseExpiresAt;
    this.lastGrantAt = tokenClock.now();
  }

  setAccounts(entries: readonly AccountEntry[]): void {
    const limited = new Set<string>();
    for (const {account, limit} of entries) if (limit) limited.add(account);
    // Shares may arrive before the catalog that has their account.
    for (const account of this.limitedAccounts) {
      if (!limited.has(account)) this.accounts.delete(account);
    }
    this.limitedAccounts = limited;
  }

  setShares({shares, number}: AccountShares): void {
    const now = this.leaseClock.now();
    this.dropExpired(now);
    // Guard: after a drop control sends all shares again, numbered from 1. A
    // late list of changes would leave the other accounts without a share.
    if (number !== 1 && number !== this.listNumber + 1) return;
    this.listNumber = number;
    if (now >= this.leaseExpiresAt) {
      this.dropSharesAt = Math.max(
        this.dropSharesAt,
        now + this.leaseMs * LEASE_WAIT_FRACTION,
      );
    }
    for (const share of shares) this.setShare(share, this.tokenClock.now());
  }

  extendLease(requestedAt: number): void {
    this.dropExpired(this.leaseClock.now());
    this.leaseExpiresAt = Math.max(
      this.leaseExpiresAt,
      requestedAt + this.leaseMs,
    );
    this.dropSharesAt = Math.max(
      this.dropSharesAt,
      this.leaseExpiresAt + SHARE_DROP_DELAY_MS,
    );
  }

  onDidDetach(): void {
    this.listNumber = 0;
  }

  get heldShares(): AccountShare[] {
    const now = this.leaseClock.now();
    // Guard: control reassigns shares that are not reported here at once, so
    // shares whose lease expired must not return to use with the next lease.
    if (now >= this.leaseExpiresAt) this.dropShares();
    return [...this.accounts].map(([account, {bucket}]) => {
      return {account, ...bucket.rateLimit, tokens: 0};
    });
  }

  /**
   * Guard: the value is sent as an unsigned integer. While an operation waits
   * for its token the last grant is in the future, and a negative value would
   * end the process when it connects to control.
   */
  get idleMs(): number {
    const idleMs = this.tokenClock.now() - this.lastGrantAt;
    return Math.floor(Math.min(Math.max(0, idleMs), MAX_IDLE_MS));
  }

  get shareListNumber(): number {
    this.dropExpired(this.leaseClock.now());
    return this.listNumber;
  }

  requestPermits(name: string, wanted: number): PermitDecision {
    // Guard: control grants these shares to others after the lease.
    if (this.leaseClock.now() >= this.leaseExpiresAt) {
      return {kind: 'unknown account'};
    }
    const account = this.accounts.get(name);
    if (!account || !canRun(account)) return {kind: 'unknown account'};
    const now = this.tokenClock.now();
    const decision = account.requestPermits(wanted, now);
    if (decision.kind === 'granted') this.lastGrantAt = now + decision.waitMs;
    return decision;
  }

  returnPermits(name: string, count: number): void {
    this.accounts.get(name)?.returnPermits(count, this.tokenClock.now());
  }

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

  private setShare(share: AccountShare, now: number): void {
    const {account, perSecond, depth, tokens} = share;
    const rateLimit = {perSecond, depth};
    const known = this.accounts.get(account);
    const bucket = known?.bucket ?? new PermitBucket(rateLimit, now);
    if (known) bucket.setRateLimit(rateLimit, now);
    else this.accounts.set(account, new CountedAccount(bucket));
    if (tokens > 0) bucket.add(tokens, now);
  }

  private dropExpired(now: number): void {
    if (now >= this.dropSharesAt) this.dropShares();
  }

  private dropShares(): void {
    this.accounts.clear();
    this.listNumber = 0;
  }
}

function canRun({bucket}: CountedAccount): boolean {
  return bucket.rateLimit.perSecond > 0 && bucket.rateLimit.depth >= 1;
}

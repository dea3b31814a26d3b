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
 * Shares are dropped when the lease is over for so long, in milliseconds: less
 * than the margin after which control gives them to others.
 */
const DROP_AFTER_MS = 500;
/**
 * A list that came without a lease waits for one for this part of a lease's
 * time: control counts it as in use for longer.
 */
const AWAIT_LEASE_PART = 2 / 3;

/** What this counter knows of one account. */
class CountedAccount {
  run = 0;
  refused = 0;
  /** The latest time that one who was refused was told. */
  private promisedAt = -Infinity;

  constructor(readonly bucket: PermitBucket) {}

  ask(wanted: number, now: number): PermitDecision {
    const decision = this.decide(wanted, now);
    if (decision.kind === 'granted') this.run += decision.count;
    else this.refused++;
    return decision;
  }

  takeBack(count: number, now: number): void {
    this.bucket.takeBack(count, now);
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

  /** Each one that is refused is told of a token of its own. */
  private refuse(now: number): PermitDecision {
    const betweenMs = 1_000 / this.bucket.rateLimit.perSecond;
    const firstAt = now + this.bucket.waitMs(now);
    const at = Math.max(firstAt, this.promisedAt + betweenMs, now);
    this.promisedAt = Math.min(at, now + MAX_RETRY_MS);
    return {
      kind: 'refused',
      retryAfterMs: Math.ceil(this.promisedAt - now),
    };
  }
}

/** A longer rest brings no more tokens, in milliseconds. */
const MOST_IDLE_MS = 60_000;

/**
 * Counts the operations of accounts for a region: grants what its shares allow,
 * and nothing once its lease on them is over.
 */
export class AccountCounter implements PermitCounter {
  private readonly accounts = new Map<string, CountedAccount>();
  private limited: ReadonlySet<string> = new Set();
  private number = 0;
  private until: number;
  private dropsAt: number;
  private grantedAt: number;

  /** @param leaseMs How long shares hold after a question, in milliseconds. */
  constructor(
    private readonly clock: Clock,
    private readonly leaseMs = SHARE_LEASE_MS,
  ) {
    this.until = clock.now();
    this.dropsAt = this.until;
    // Before its start this process granted nothing.
    this.grantedAt = this.until;
  }

  setAccounts(entries: readonly AccountEntry[]): void {
    const limited = new Set<string>();
    for (const {account, limit} of entries) if (limit) limited.add(account);
    // Shares may come ahead of the catalog that has their account.
    for (const account of this.limited) {
      if (!limited.has(account)) this.accounts.delete(account);
    }
    this.limited = limited;
  }

  setShares({shares, number}: AccountShares): void {
    const now = this.clock.now();
    this.dropLapsed(now);
    // Guard: what was dropped is told again from 1 on; a list of changes that
    // was under way by then would leave accounts without a share.
    if (number !== 1 && number !== this.number + 1) return;
    this.number = number;
    if (now >= this.until) {
      this.dropsAt = Math.max(
        this.dropsAt,
        now + this.leaseMs * AWAIT_LEASE_PART,
      );
    }
    for (const share of shares) this.setShare(share, now);
  }

  extendLease(askedAt: number): void {
    this.dropLapsed(this.clock.now());
    this.until = Math.max(this.until, askedAt + this.leaseMs);
    this.dropsAt = Math.max(this.dropsAt, this.until + DROP_AFTER_MS);
  }

  onDidDetach(): void {
    this.number = 0;
  }

  get heldShares(): AccountShare[] {
    const now = this.clock.now();
    // Guard: control frees at once what is not named here. Shares whose lease
    // is over must not come back with the next one.
    if (now >= this.until) this.drop();
    return [...this.accounts].map(([account, {bucket}]) => {
      return {account, ...bucket.rateLimit, tokens: 0};
    });
  }

  /**
   * Guard: it goes out as a count. One below 0, while an operation waits for
   * its token, cannot be written and ended the process at its next greeting.
   */
  get idleMs(): number {
    const idleMs = this.clock.now() - this.grantedAt;
    return Math.floor(Math.min(Math.max(0, idleMs), MOST_IDLE_MS));
  }

  get shareListNumber(): number {
    this.dropLapsed(this.clock.now());
    return this.number;
  }

  requestPermits(name: string, wanted: number): PermitDecision {
    const now = this.clock.now();
    // Guard: control gives these shares to others after the lease.
    if (now >= this.until) return {kind: 'unknown account'};
    const account = this.accounts.get(name);
    if (!account || !canRun(account)) return {kind: 'unknown account'};
    const decision = account.ask(wanted, now);
    if (decision.kind === 'granted') this.grantedAt = now + decision.waitMs;
    return decision;
  }

  returnPermits(name: string, count: number): void {
    this.accounts.get(name)?.takeBack(count, this.clock.now());
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
    const terms = {perSecond, depth};
    const known = this.accounts.get(account);
    const bucket = known?.bucket ?? new PermitBucket(terms, now);
    if (known) bucket.setRateLimit(terms, now);
    else this.accounts.set(account, new CountedAccount(bucket));
    if (tokens > 0) bucket.add(tokens, now);
  }

  private dropLapsed(now: number): void {
    if (now >= this.dropsAt) this.drop();
  }

  private drop(): void {
    this.accounts.clear();
    this.number = 0;
  }
}

function canRun({bucket}: CountedAccount): boolean {
  return bucket.rateLimit.perSecond > 0 && bucket.rateLimit.depth >= 1;
}

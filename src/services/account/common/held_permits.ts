import {
  MAX_RETRY_MS,
  type PermitCache,
  type PermitDecision,
  type PermitLookup,
} from './permit_counting';
import {DecayedRate} from './decayed_rate';

/** A request asks for the permits that are expected to be used in this time. */
const PREFETCH_WINDOW_MS = 400;
/** A batch request is considered lost after this time without an answer. */
const BATCH_TIMEOUT_MS = 100;
/** Bounds of the time between two retries of callers that are refused here. */
const MIN_RETRY_INTERVAL_MS = 5;
const MAX_RETRY_INTERVAL_MS = 1_000;

/** Covers the counters of a small fleet. */
const MAX_FURTHER_COUNTERS = 5;
/** Keeps the load of counters low while an account is over its limit. */
const MAX_FURTHER_COUNTERS_AFTER_REFUSAL = 1;
/** How long a refusal reduces the number of counters that are tried. */
const REFUSAL_EFFECT_MS = 1_000;

/** Shares change, and callers may not use the retry time they were given. */
const MAX_REFUSAL_CACHE_MS = 500;

/** Permits that expire at the same time. */
interface Permits {
  readonly expiresAt: number;
  count: number;
}

/** The cached permits and refusals of one account. */
class AccountPermits {
  private readonly demand: DecayedRate;
  private readonly granted: DecayedRate;
  private unused: Permits[] = [];
  private used: Permits[] = [];
  /** When a batch was last requested; -Infinity once it is answered. */
  private batchRequestedAt = -Infinity;
  /** Counters reported that no permit is available before this time. */
  private availableAt = -Infinity;
  /** The latest retry time that was given to a caller. */
  private lastRetryAt = -Infinity;

  constructor(now: number) {
    this.demand = new DecayedRate(now);
    this.granted = new DecayedRate(now);
  }

  tryTake(now: number): PermitLookup {
    this.demand.add(1, now);
    if (this.takeUnused(now)) return {kind: 'taken'};
    if (now < this.availableAt) return this.refuse(now);
    const maxFurtherCounters = this.wasRefusedRecently(now)
      ? MAX_FURTHER_COUNTERS_AFTER_REFUSAL
      : MAX_FURTHER_COUNTERS;
    return {
      kind: 'request',
      wanted: this.nextBatchSize(now),
      maxFurtherCounters,
    };
  }

  onDidGrant(count: number, expiresAt: number, now: number): void {
    this.granted.add(count, now);
    this.availableAt = Math.min(this.availableAt, now);
    this.batchRequestedAt = -Infinity;
    if (count > 1) add(this.unused, {expiresAt, count: count - 1});
  }

  onDidRefuse(availableAt: number, now: number): void {
    this.batchRequestedAt = -Infinity;
    const cachedUntil = Math.min(availableAt, now + MAX_REFUSAL_CACHE_MS);
    this.availableAt = Math.max(this.availableAt, cachedUntil);
    this.lastRetryAt = Math.max(this.lastRetryAt, availableAt);
  }

  /** Puts the used permit back that expires first. */
  returnPermit(now: number): boolean {
    this.used = this.used.filter(({expiresAt}) => now < expiresAt);
    const first = this.used[0];
    if (!first) return false;
    first.count--;
    if (first.count === 0) this.used.shift();
    add(this.unused, {expiresAt: first.expiresAt, count: 1});
    return true;
  }

  private wasRefusedRecently(now: number): boolean {
    return now < this.availableAt + REFUSAL_EFFECT_MS;
  }

  private takeUnused(now: number): boolean {
    // Guard: a counter refills the tokens of a permit when it expires. Used
    // later, it would let the account run more than its limit.
    this.unused = this.unused.filter(({expiresAt}) => now < expiresAt);
    const first = this.unused[0];
    if (!first) return false;
    first.count--;
    if (first.count === 0) this.unused.shift();
    this.used = this.used.filter(({expiresAt}) => now < expiresAt);
    add(this.used, {expiresAt: first.expiresAt, count: 1});
    return true;
  }

  /** Only one request at a time asks for more than one permit. */
  private nextBatchSize(now: number): number {
    const isPending = now - this.batchRequestedAt < BATCH_TIMEOUT_MS;
    if (isPending) return 1;
    this.batchRequestedAt = now;
    const expected = (this.demand.perSecond(now) * PREFETCH_WINDOW_MS) / 1_000;
    return Math.max(1, Math.floor(expected));
  }

  private refuse(now: number): PermitLookup {
    const intervalMs = 1_000 / Math.max(1, this.granted.perSecond(now));
    const stepMs = Math.min(
      MAX_RETRY_INTERVAL_MS,
      Math.max(MIN_RETRY_INTERVAL_MS, intervalMs),
    );
    const retryAt = Math.max(this.availableAt, this.lastRetryAt + stepMs);
    this.lastRetryAt = Math.min(retryAt, now + MAX_RETRY_MS);
    const retryAfterMs = Math.ceil(Math.max(1, this.lastRetryAt - now));
    return {kind: 'refused', retryAfterMs};
  }
}

/** Caches the permits and refusals that counters sent to this proxy. */
export class HeldPermits implements PermitCache {
  private readonly accounts = new Map<string, AccountPermits>();

  tryTake(account: string, now: number): PermitLookup {
    return this.permitsOf(account, now).tryTake(now);
  }

  onDidReceiveDecision(
    account: string,
    requestedAt: number,
    decision: PermitDecision,
    now: number,
  ): void {
    const permits = this.permitsOf(account, now);
    if (decision.kind === 'granted') {
      const {count, validMs} = decision;
      // Permits expire here before they do at the counter, which granted them
      // after the request was sent.
      permits.onDidGrant(count, requestedAt + validMs, now);
    }
    if (decision.kind === 'refused') {
      permits.onDidRefuse(requestedAt + decision.retryAfterMs, now);
    }
  }

  returnPermit(account: string, now: number): boolean {
    return this.accounts.get(account)?.returnPermit(now) ?? false;
  }

  private permitsOf(account: string, now: number): AccountPermits {
    const known = this.accounts.get(account);
    const permits = known ?? new AccountPermits(now);
    this.accounts.set(account, permits);
    return permits;
  }
}

/** Inserts permits into a list that is sorted by expiry. */
function add(all: Permits[], permits: Permits): void {
  const index = all.findIndex(({expiresAt}) => expiresAt >= permits.expiresAt);
  const next = index < 0 ? undefined : all[index];
  if (next?.expiresAt === permits.expiresAt) next.count += permits.count;
  else all.splice(index < 0 ? all.length : index, 0, permits);
}

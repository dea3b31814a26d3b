import type {
  AccountShare,
  AccountShares,
  AccountUse,
  CounterEntry,
} from '../../../schema/generated/fleet';
import {DecayedRate} from './decayed_rate';
import {PERMIT_VALID_MS} from './permit_bucket';
import {NO_SHARE} from './rate_limit_math';
import type {RateLimit} from './token_bucket';
import {TrackedShare} from './tracked_share';

/** Allows for clock drift and for the latency of a request to control. */
const LEASE_MARGIN_MS = 1_000;
/** How long permits may be in use after the counter lost its shares. */
export const OUTSTANDING_PERMITS_MS = PERMIT_VALID_MS + 100;
/** A counter without a report for this time is unresponsive. */
const UNRESPONSIVE_MS = 1_500;
/** Proxies with an older list of counters still use a retiring one. */
const RETIREMENT_DELAY_MS = 2_000;
/** The fraction of a share that counts as demand until a counter reports. */
const ASSUMED_USE_FRACTION = 0.6;
/** Long enough that shares of small accounts do not follow chance. */
const DEMAND_TIME_CONSTANT_MS = 4_000;

/**
 * Returns when shares granted at a time are certainly out of use.
 *
 * @param leaseMs How long shares are valid after a counter's request.
 */
export function leaseEnd(grantedAt: number, leaseMs: number): number {
  return grantedAt + leaseMs + LEASE_MARGIN_MS;
}

/** What the control leader knows of a counter and its shares. */
export class TrackedCounter {
  private readonly shares = new Map<string, TrackedShare>();
  private readonly demands = new Map<string, DecayedRate>();
  /** When accounts with a share here lost their limits. */
  private readonly removedAt = new Map<string, number>();
  private isListed = false;
  private retiredAt = Infinity;
  private attachedAt = -Infinity;
  private renewedAt = -Infinity;
  private lastReceivedAt = -Infinity;
  private attachedEmptyAt = -Infinity;
  /** Whether it held shares when it attached. */
  hadShares = false;
  /** When it had last granted a permit, as of its attachment. */
  lastGrantAt = Infinity;
  private listNumber = 0;
  private acknowledgedNumber = 0;

  constructor(private readonly leaseMs: number) {}

  get isAttached(): boolean {
    return this.attachedAt > -Infinity;
  }

  /** Takes its entry in the list of counters; undefined where it has none. */
  setEntry(entry: CounterEntry | undefined, now: number): void {
    this.isListed = entry !== undefined && !entry.retiring;
    if (this.isListed) this.retiredAt = Infinity;
    else this.retiredAt = Math.min(this.retiredAt, now);
  }

  /** Whether it gets shares. */
  isEligible(now: number): boolean {
    return this.isListed && this.isResponsive(now);
  }

  isResponsive(now: number): boolean {
    return now - this.lastReceivedAt < UNRESPONSIVE_MS;
  }

  mustReturnShares(now: number): boolean {
    const isStillInUse = now - this.retiredAt < RETIREMENT_DELAY_MS;
    return !this.isListed && !isStillInUse && this.isResponsive(now);
  }

  /** Whether permits from before a recent attachment may be in use. */
  mayHaveOutstandingPermits(now: number): boolean {
    return now < this.attachedEmptyAt + OUTSTANDING_PERMITS_MS;
  }

  attach(
    shares: readonly AccountShare[],
    lastGrantAt: number,
    now: number,
  ): void {
    this.lastGrantAt = lastGrantAt;
    this.attachedAt = now;
    this.lastReceivedAt = now;
    this.resetLists();
    this.hadShares = shares.length > 0;
    if (this.hadShares) return this.setShares(shares, now);
    this.onDidLoseShares(now);
    this.attachedEmptyAt = now;
  }

  report(uses: readonly AccountUse[], listNumber: number, now: number): void {
    this.lastReceivedAt = now;
    for (const {account, run, refused} of uses) {
      this.demandRateOf(account, now).add(run + refused, now);
    }
    // Guard: a counter whose lease expired has dropped its shares. Sent only
    // changes, it would refuse the accounts that did not change.
    const hasLost = listNumber === 0 && this.acknowledgedNumber > 0;
    if (hasLost) {
      this.onDidLoseShares(now);
      this.resetLists();
    }
    this.acknowledge(listNumber);
  }

  renewLease(now: number): void {
    this.renewedAt = now;
  }

  /** Drops its shares if the lease expired by a time; whether it did. */
  expireLease(confirmedAt: number, now: number): boolean {
    const leasedAt = Math.max(this.renewedAt, this.attachedAt);
    const isExpired = confirmedAt >= leaseEnd(leasedAt, this.leaseMs);
    if (!isExpired || this.shares.size === 0) return false;
    this.shares.clear();
    this.resetLists();
    this.attachedAt = now;
    return true;
  }

  /** Returns the largest share of an account that may be in use here. */
  maxInUse(account: string, now: number): RateLimit {
    return this.shares.get(account)?.maxInUse(now) ?? NO_SHARE;
  }

  /** Returns the requested operations of an account, a second. */
  demandOf(account: string, now: number): number {
    return this.demands.get(account)?.perSecond(now) ?? 0;
  }

  shareOf(account: string): TrackedShare {
    const known = this.shares.get(account);
    const share = known ?? new TrackedShare();
    this.shares.set(account, share);
    return share;
  }

  /** Numbers a list of shares that is about to be sent. */
  recordList(shares: AccountShare[]): AccountShares {
    const number = ++this.listNumber;
    for (const {account, perSecond, depth} of shares) {
      this.removedAt.delete(account);
      this.shareOf(account).recordSent({perSecond, depth}, number);
    }
    return {shares, number};
  }

  /** Whether no share of any account can be in use here. */
  isEmpty(now: number): boolean {
    for (const [account, share] of this.shares) {
      if (this.isRemoved(account, now)) continue;
      const {perSecond, depth} = share.maxInUse(now);
      if (perSecond > 0 || depth > 0) return false;
    }
    return true;
  }

  /**
   * An account has no limit any more. The counter drops its share with the next
   * catalog, or when its lease expires.
   */
  removeAccount(account: string, now: number): void {
    const share = this.shares.get(account);
    if (!share) return;
    share.mustSend = true;
    this.removedAt.set(account, now);
    this.demands.delete(account);
  }

  private isRemoved(account: string, now: number): boolean {
    const removedAt = this.removedAt.get(account);
    return removedAt !== undefined && now >= leaseEnd(removedAt, this.leaseMs);
  }

  private resetLists(): void {
    this.listNumber = 0;
    this.acknowledgedNumber = 0;
  }

  private acknowledge(number: number): void {
    if (number <= this.acknowledgedNumber || number > this.listNumber) return;
    this.acknowledgedNumber = number;
    for (const share of this.shares.values()) share.acknowledge(number);
  }

  private onDidLoseShares(now: number): void {
    for (const share of this.shares.values()) {
      share.onDidLose(now + OUTSTANDING_PERMITS_MS, now);
    }
  }

  private setShares(shares: readonly AccountShare[], now: number): void {
    this.shares.clear();
    for (const {account, perSecond, depth} of shares) {
      this.shares.set(account, new TrackedShare({perSecond, depth}));
      if (this.demands.has(account)) continue;
      const assumed =
        (perSecond * ASSUMED_USE_FRACTION * DEMAND_TIME_CONSTANT_MS) / 1_000;
      this.demandRateOf(account, now).add(assumed, now);
    }
  }

  private demandRateOf(account: string, now: number): DecayedRate {
    const known = this.demands.get(account);
    const demand = known ?? new DecayedRate(now, DEMAND_TIME_CONSTANT_MS);
    this.demands.set(account, demand);
    return demand;
  }
}

import type {
  AccountShare,
  AccountShares,
  AccountUse,
  CounterEntry,
} from '../../../schema/generated/fleet';
import {DecayedRate} from './decayed_rate';
import {PERMIT_VALID_MS} from './permit_bucket';
import {ShareHolding} from './tracked_share';
import {NO_SHARE} from './rate_limit_math';
import type {RateLimit} from './token_bucket';

/**
 * A counter's lease runs from its question, by its own clock; its shares are
 * counted as in use for this much longer, in milliseconds.
 */
const LEASE_MARGIN_MS = 1_000;
/** What a counter that lost its shares granted may run so long, in ms. */
export const STRAY_MS = PERMIT_VALID_MS + 100;
/** A counter that reported nothing for so long is told nothing, in ms. */
const SILENT_MS = 1_500;
/** One that retires is asked by proxies that heard nothing, for so long. */
const RETIRE_MS = 2_000;
/** The part of its share that a counter is taken to use until it reports. */
const USED_PART = 0.6;
/**
 * What counters are asked for is forgotten with this time constant, in ms: by
 * what came in less, shares of small accounts move about by chance.
 */
const DEMAND_MEMORY_MS = 4_000;

/**
 * When what was granted at a time has ended for sure.
 *
 * @param leaseMs How long shares hold after a counter's question.
 */
export function leaseEnd(grantedAt: number, leaseMs: number): number {
  return grantedAt + leaseMs + LEASE_MARGIN_MS;
}

/** A counter, as the leader of control knows it. */
export class ShareHolder {
  private readonly holdings = new Map<string, ShareHolding>();
  private readonly demands = new Map<string, DecayedRate>();
  /** When accounts lost their limits of which it had shares. */
  private readonly forgottenAt = new Map<string, number>();
  private isListed = false;
  private retiringSince = Infinity;
  private attachedAt = -Infinity;
  private renewedAt = -Infinity;
  private heardAt = -Infinity;
  private emptyAt = -Infinity;
  /** Whether it held shares when it came. */
  hadShares = false;
  /** Since when it had granted nothing when it came. */
  idleSince = Infinity;
  private number = 0;
  private acknowledged = 0;

  constructor(private readonly leaseMs: number) {}

  get isAttached(): boolean {
    return this.attachedAt > -Infinity;
  }

  /** Takes its place in the list of counters; undefined where it has none. */
  place(entry: CounterEntry | undefined, now: number): void {
    this.isListed = entry !== undefined && !entry.retiring;
    if (this.isListed) this.retiringSince = Infinity;
    else this.retiringSince = Math.min(this.retiringSince, now);
  }

  /** Whether it gets shares. */
  isEligible(now: number): boolean {
    return this.isListed && this.isHeard(now);
  }

  isHeard(now: number): boolean {
    return now - this.heardAt < SILENT_MS;
  }

  /** Whether it has to give back what it has. */
  isToBeEmptied(now: number): boolean {
    const isAsked = now - this.retiringSince < RETIRE_MS;
    return !this.isListed && !isAsked && this.isHeard(now);
  }

  /** Whether it came without shares so shortly that its permits may be out. */
  isFresh(now: number): boolean {
    return now < this.emptyAt + STRAY_MS;
  }

  attach(
    shares: readonly AccountShare[],
    idleSince: number,
    now: number,
  ): void {
    this.idleSince = idleSince;
    this.attachedAt = now;
    this.heardAt = now;
    this.restartLists();
    this.hadShares = shares.length > 0;
    if (this.hadShares) return this.hold(shares, now);
    this.lose(now);
    this.emptyAt = now;
  }

  report(uses: readonly AccountUse[], number: number, now: number): void {
    this.heardAt = now;
    for (const {account, run, refused} of uses) {
      this.demandOf(account, now).add(run + refused, now);
    }
    // Guard: a counter whose lease ended has dropped its shares and all lists.
    // Told of changes only, it would refuse the account for good.
    const hasLost = number === 0 && this.acknowledged > 0;
    if (hasLost) {
      this.lose(now);
      this.restartLists();
    }
    this.acknowledge(number);
  }

  renew(now: number): void {
    this.renewedAt = now;
  }

  /** Drops what it held if its lease ended before a time; whether it did. */
  expire(confirmedAt: number, now: number): boolean {
    const heldSince = Math.max(this.renewedAt, this.attachedAt);
    const isOver = confirmedAt >= leaseEnd(heldSince, this.leaseMs);
    if (!isOver || this.holdings.size === 0) return false;
    this.holdings.clear();
    this.restartLists();
    this.attachedAt = now;
    return true;
  }

  most(account: string, now: number): RateLimit {
    return this.holdings.get(account)?.most(now) ?? NO_SHARE;
  }

  demand(account: string, now: number): number {
    return this.demands.get(account)?.perSecond(now) ?? 0;
  }

  holding(account: string): ShareHolding {
    const known = this.holdings.get(account);
    const holding = known ?? new ShareHolding();
    this.holdings.set(account, holding);
    return holding;
  }

  /** Makes the next list, of shares that are told from now on. */
  tell(shares: AccountShare[]): AccountShares {
    const number = ++this.number;
    for (const {account, perSecond, depth} of shares) {
      this.forgottenAt.delete(account);
      this.holding(account).tell({perSecond, depth}, number);
    }
    return {shares, number};
  }

  /** Whether no account can have a share here any more. */
  holdsNothing(now: number): boolean {
    for (const [account, holding] of this.holdings) {
      if (this.isForgotten(account, now)) continue;
      const {perSecond, depth} = holding.most(now);
      if (perSecond > 0 || depth > 0) return false;
    }
    return true;
  }

  /**
   * An account has no limit any more: the counter drops its share with its next
   * catalog, or with its lease.
   */
  forget(account: string, now: number): void {
    const holding = this.holdings.get(account);
    if (!holding) return;
    holding.isNews = true;
    this.forgottenAt.set(account, now);
    this.demands.delete(account);
  }

  private isForgotten(account: string, now: number): boolean {
    const at = this.forgottenAt.get(account);
    return at !== undefined && now >= leaseEnd(at, this.leaseMs);
  }

  private restartLists(): void {
    this.number = 0;
    this.acknowledged = 0;
  }

  private acknowledge(number: number): void {
    if (number <= this.acknowledged || number > this.number) return;
    this.acknowledged = number;
    for (const holding of this.holdings.values()) holding.acknowledge(number);
  }

  private lose(now: number): void {
    for (const holding of this.holdings.values()) {
      holding.lose(now + STRAY_MS, now);
    }
  }

  private hold(shares: readonly AccountShare[], now: number): void {
    this.holdings.clear();
    for (const {account, perSecond, depth} of shares) {
      this.holdings.set(account, new ShareHolding({perSecond, depth}));
      if (this.demands.has(account)) continue;
      const used = (perSecond * USED_PART * DEMAND_MEMORY_MS) / 1_000;
      this.demandOf(account, now).add(used, now);
    }
  }

  private demandOf(account: string, now: number): DecayedRate {
    const known = this.demands.get(account);
    const demand = known ?? new DecayedRate(now, DEMAND_MEMORY_MS);
    this.demands.set(account, demand);
    return demand;
  }
}

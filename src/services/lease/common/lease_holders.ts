import {LEASE_MS} from './primary_leases';
import {hasLeaseEnded} from './lease_expiry';

/**
 * A lease runs from the proxy's question, so it ends on control's clock before
 * this: two steady clocks drift apart by less than a thousandth, and timers
 * fire a few milliseconds late.
 */
const LEASE_BOUND_MS = LEASE_MS + 50;

interface Holder {
  lastGrantAt: number;
  /** By service: it relies on no epoch below this. */
  readonly handedBackBelow: Map<string, number>;
}

/**
 * The proxies that may rely on leads of services, as the leader of control
 * knows them. It begins empty with each leader; what earlier ones granted ends
 * a lease's time after this one began, since a majority confirmed it before.
 */
export class LeaseHolders {
  private readonly holders = new Map<string, Holder>();

  constructor(private readonly since: number) {}

  /** Takes note that a proxy was granted leases on all leads it knows. */
  onRenewed(proxy: string, now: number): void {
    this.holderOf(proxy).lastGrantAt = now;
  }

  /** Takes a proxy's word that it relies no more on an epoch. */
  onReturned(proxy: string, service: string, epoch: number): void {
    const {handedBackBelow} = this.holderOf(proxy);
    const known = handedBackBelow.get(service) ?? 0;
    handedBackBelow.set(service, Math.max(known, epoch + 1));
  }

  /** Whether some proxy has given up an epoch. */
  hasReturned(service: string, epoch: number): boolean {
    return [...this.holders.values()].some(({handedBackBelow}) => {
      return (handedBackBelow.get(service) ?? 0) > epoch;
    });
  }

  /**
   * Who may still rely on an epoch; 'earlier holders' stands for those that
   * this leader has not heard of.
   */
  holdersOf(service: string, epoch: number, now: number): string[] {
    const {since} = this;
    const bounds = {leaderSince: since, maxLeaseMs: LEASE_BOUND_MS};
    // Before this leader told of a lead, it granted no lease on it.
    const granted = epoch > 0 ? [...this.holders] : [];
    const relying = granted
      .filter(([, {lastGrantAt, handedBackBelow}]) => {
        const below = handedBackBelow.get(service) ?? 0;
        const holding = {lastGrantAt, handedBackBelow: below};
        return !hasLeaseEnded(holding, epoch + 1, bounds, now);
      })
      .map(([proxy]) => proxy);
    if (now < since + LEASE_BOUND_MS) relying.push('earlier holders');
    return relying;
  }

  private holderOf(proxy: string): Holder {
    const known = this.holders.get(proxy);
    if (known) return known;
    const holder = {lastGrantAt: -Infinity, handedBackBelow: new Map()};
    this.holders.set(proxy, holder);
    return holder;
  }
}

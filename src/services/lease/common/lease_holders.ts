import {LEASE_MS} from './primary_leases';
import {hasLeaseEnded} from './lease_expiry';

/**
 * A lease runs from the proxy's request, so it has ended on control's clock by
 * then. The margin covers clock drift and late timers.
 */
const MAX_LEASE_MS = LEASE_MS + 50;

interface Holder {
  lastGrantedAt: number;
  /** By service; it holds no lease on an epoch below this. */
  readonly returnedBelow: Map<string, number>;
}

/**
 * The proxies that may hold leases on primaries, as the control leader knows
 * them. Each leader starts with none; a lease of an earlier leader expires
 * within the lease time after this one was elected.
 */
export class LeaseHolders {
  private readonly proxies = new Map<string, Holder>();

  constructor(private readonly leaderSince: number) {}

  /** Records that a proxy was granted leases on all primaries it knows. */
  onRenewed(proxy: string, now: number): void {
    this.holderOf(proxy).lastGrantedAt = now;
  }

  /** Records that a proxy holds no lease on an epoch any more. */
  onReturned(proxy: string, service: string, epoch: number): void {
    const {returnedBelow} = this.holderOf(proxy);
    const known = returnedBelow.get(service) ?? 0;
    returnedBelow.set(service, Math.max(known, epoch + 1));
  }

  /** Whether any proxy has returned its lease on an epoch. */
  hasReturned(service: string, epoch: number): boolean {
    return [...this.proxies.values()].some(({returnedBelow}) => {
      return (returnedBelow.get(service) ?? 0) > epoch;
    });
  }

  /**
   * The proxies that may still hold a lease on an epoch; 'earlier holders'
   * stands for those of earlier leaders.
   */
  holdersOf(service: string, epoch: number, now: number): string[] {
    const {leaderSince} = this;
    const bounds = {leaderSince, maxLeaseMs: MAX_LEASE_MS};
    // This leader granted no lease on an assignment before it published it.
    const candidates = epoch > 0 ? [...this.proxies] : [];
    const leaseHolders = candidates
      .filter(([, {lastGrantedAt, returnedBelow}]) => {
        const below = returnedBelow.get(service) ?? 0;
        const state = {lastGrantedAt, returnedBelow: below};
        return !hasLeaseEnded(state, epoch + 1, bounds, now);
      })
      .map(([proxy]) => proxy);
    if (now < leaderSince + MAX_LEASE_MS) leaseHolders.push('earlier holders');
    return leaseHolders;
  }

  private holderOf(proxy: string): Holder {
    const known = this.proxies.get(proxy);
    if (known) return known;
    const holder = {lastGrantedAt: -Infinity, returnedBelow: new Map()};
    this.proxies.set(proxy, holder);
    return holder;
  }
}

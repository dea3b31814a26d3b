import {hashText} from '../../../base/common/hash';
import type {PoolerEntry} from '../../../schema/generated/fleet';
import {usableConnections} from '../../dispatch/common/usable_connections';

/** A proxy that can become a pooler. */
export interface PoolerCandidate {
  readonly instance: string;
  readonly site: string;
  /** Address for the links of other proxies. */
  readonly address: string;
}

/** A service whose connections may be pooled. */
export interface PooledService {
  readonly service: string;
  /** Connection limit of one member, across all instances. */
  readonly connections: number;
}

/**
 * Preferred minimum of connections per pooler and member. With fewer, idle
 * transactions would hold all connections of a pooler while the member has free
 * slots.
 */
const PREFERRED_CONNECTIONS_PER_POOLER = 5;
/**
 * Absolute minimum, which applies where the preferred one would leave sites
 * without a pooler. Their requests would fail for want of a connection to a
 * primary.
 */
const MIN_CONNECTIONS_PER_POOLER = 3;
/**
 * With fewer proxies per pooler, the extra hop costs more than separate
 * connections per proxy. With more, their connects would keep the members busy
 * after a common restart, since none knows of the others' queues.
 */
const MIN_PROXIES_PER_POOLER = 4;

/**
 * Assigns poolers to services: proxies that hold the connections to the members
 * of a service on behalf of the others.
 *
 * Current poolers are kept where possible, so that a proxy that joins or leaves
 * only moves its own share.
 */
export function planPoolers(
  services: readonly PooledService[],
  candidates: readonly PoolerCandidate[],
  current: readonly PoolerEntry[],
): PoolerEntry[] {
  if (services.length === 0) return [];
  const plan = new PoolerPlan(services, candidates);
  plan.build(current);
  // With sites of unequal size, a first plan may assign more poolers to a site
  // than a plan based on it would keep. Planning again from the result gives a
  // stable assignment.
  const stable = new PoolerPlan(services, candidates);
  stable.build(plan.entries);
  return stable.entries;
}

/** A plan under construction. */
class PoolerPlan {
  readonly entries: PoolerEntry[] = [];
  private readonly byService = new Map<string, PoolerEntry[]>();
  private readonly poolerCounts: ReadonlyMap<string, number>;
  private readonly candidates: ReadonlyMap<string, PoolerCandidate>;
  /** Number of services that each proxy is a pooler of. */
  private readonly roleCounts = new Map<string, number>();
  private readonly maxRoles: number;
  private readonly siteCount: number;

  constructor(
    services: readonly PooledService[],
    candidates: readonly PoolerCandidate[],
  ) {
    const proxyCount = candidates.length;
    this.candidates = new Map(candidates.map(one => [one.instance, one]));
    this.siteCount = new Set(candidates.map(({site}) => site)).size;
    this.poolerCounts = new Map(
      services.map(entry => {
        const count = this.countFor(entry, services.length);
        return [entry.service, count];
      }),
    );
    const total = [...this.poolerCounts.values()].reduce(
      (sum, one) => sum + one,
      0,
    );
    this.maxRoles = Math.ceil(total / Math.max(1, proxyCount));
  }

  /**
   * Number of poolers of a service: about an equal share of the proxies, and at
   * least one per site. 0 if each proxy opens its own connections.
   */
  private countFor({connections}: PooledService, serviceCount: number): number {
    const proxyCount = this.candidates.size;
    const usable = usableConnections(connections);
    const {siteCount} = this;
    // Without a pooler in its site, a proxy would send all its work to another
    // site.
    if (Math.floor(usable / siteCount) < MIN_CONNECTIONS_PER_POOLER) return 0;
    const byConnections = Math.floor(usable / PREFERRED_CONNECTIONS_PER_POOLER);
    const byProxies = Math.max(
      siteCount,
      Math.floor(proxyCount / serviceCount),
    );
    const count = Math.max(siteCount, Math.min(byConnections, byProxies));
    return proxyCount >= count * MIN_PROXIES_PER_POOLER ? count : 0;
  }

  build(current: readonly PoolerEntry[]): void {
    for (const {service, instance} of current) this.keep(service, instance);
    this.fill();
  }

  /**
   * Keeps a current pooler unless it exceeds its share.
   *
   * Guard: poolers assigned while most proxies of a site were away carry the
   * load of all of them and become overloaded. The surplus moves to the proxies
   * that returned.
   */
  private keep(service: string, instance: string): void {
    const candidate = this.candidates.get(instance);
    if (!candidate) return;
    const poolers = this.poolersOf(service);
    const count = this.poolerCounts.get(service) ?? 0;
    const inSite = poolers.filter(({site}) => site === candidate.site).length;
    if (poolers.length >= count || inSite >= this.maxPerSite(service)) return;
    if (this.roleCountOf(instance) >= this.maxRoles) return;
    this.add(service, candidate);
  }

  /** Assigns the missing poolers. */
  private fill(): void {
    for (const [service, count] of this.poolerCounts) {
      for (;;) {
        const poolers = this.poolersOf(service);
        const nextCandidate =
          poolers.length < count && this.nextCandidate(service, poolers);
        if (!nextCandidate) break;
        this.add(service, nextCandidate);
      }
    }
  }

  private add(
    service: string,
    {instance, address, site}: PoolerCandidate,
  ): void {
    const entry = {service, instance, address, site};
    this.entries.push(entry);
    const poolers = this.byService.get(service);
    if (poolers) poolers.push(entry);
    else this.byService.set(service, [entry]);
    this.roleCounts.set(instance, this.roleCountOf(instance) + 1);
  }

  private roleCountOf(instance: string): number {
    return this.roleCounts.get(instance) ?? 0;
  }

  private poolersOf(service: string): readonly PoolerEntry[] {
    return this.byService.get(service) ?? [];
  }

  /** Upper bound of poolers of a service in one site. */
  private maxPerSite(service: string): number {
    const count = this.poolerCounts.get(service) ?? 0;
    return Math.ceil(count / Math.max(1, this.siteCount));
  }

  /**
   * The proxy with the fewest roles, in the site with the fewest poolers of the
   * service.
   */
  private nextCandidate(
    service: string,
    poolers: readonly PoolerEntry[],
  ): PoolerCandidate | undefined {
    let best: PoolerCandidate | undefined;
    let bestRank: readonly number[] = [];
    for (const candidate of this.candidates.values()) {
      const {instance, site} = candidate;
      if (poolers.some(other => other.instance === instance)) continue;
      const inSite = poolers.filter(other => other.site === site).length;
      const hash = hashText(`${service} ${instance}`);
      const isFull = inSite >= this.maxPerSite(service) ? 1 : 0;
      const rank = [isFull, this.roleCountOf(instance), inSite, hash];
      if (best && !isBefore(rank, bestRank)) continue;
      best = candidate;
      bestRank = rank;
    }
    return best;
  }
}

function isBefore(a: readonly number[], b: readonly number[]): boolean {
  const index = a.findIndex((value, other) => value !== b[other]);
  return index >= 0 && a[index]! < b[index]!;
}

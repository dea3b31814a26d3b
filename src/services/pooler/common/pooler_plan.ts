import {hashOf} from '../../../base/common/hash';
import type {PoolerEntry} from '../../../schema/generated/fleet';
import {usableConnections} from '../../dispatch/common/usable_connections';

/** A proxy that can keep connections for others. */
export interface PoolerCandidate {
  readonly instance: string;
  readonly site: string;
  /** Where other proxies reach it. */
  readonly address: string;
}

/** A service whose members' connections are shared out. */
export interface PooledService {
  readonly service: string;
  /** Connections that one member takes from all instances together. */
  readonly connections: number;
}

/**
 * Connections to one member that a pooler has at least. A member runs 2 to 5
 * statements at a time; with fewer connections, transactions that rest between
 * statements would keep a pooler's own queue waiting while slots are free.
 */
const POOLER_SHARE = 5;
/**
 * Where that makes fewer poolers than sites, each site still gets one as long
 * as this many connections are left to it. With none, 68 proxies before 23
 * connections refused a sixth of a calm day's requests: nearly all for want of
 * a connection to a primary.
 */
const LEAST_SHARE = 3;
/**
 * Poolers are named where there are so many times more proxies at least. Each
 * instance that opens connections takes 12 to 27 ms of a slot for each, and
 * none knows of the others' queues: after a common restart 82 of them kept the
 * members of all services busy for 4 s. Among a few the way through another
 * proxy costs more than that.
 */
const LEAST_PROXIES_A_POOLER = 4;

/**
 * Which proxies keep the connections to the members of which service.
 *
 * Where connections are scarce, some proxies of each site keep those of a
 * service and serve the others: a member then has a few poolers with a queue
 * each, instead of as many openings as transactions. Poolers in place stay, so
 * that a proxy which comes or goes moves only its own part.
 */
export function planPoolers(
  services: readonly PooledService[],
  candidates: readonly PoolerCandidate[],
  current: readonly PoolerEntry[],
): PoolerEntry[] {
  if (services.length === 0) return [];
  const plan = new PoolerPlan(services, candidates);
  plan.make(current);
  // Where sites differ in size a first plan may have more in one place than
  // the next one would keep; a plan made from it does not change any more.
  const settled = new PoolerPlan(services, candidates);
  settled.make(plan.entries);
  return settled.entries;
}

/** A plan while it is made. */
class PoolerPlan {
  readonly entries: PoolerEntry[] = [];
  private readonly byService = new Map<string, PoolerEntry[]>();
  private readonly wanted: ReadonlyMap<string, number>;
  private readonly candidates: ReadonlyMap<string, PoolerCandidate>;
  /** Services that each proxy keeps connections for. */
  private readonly roles = new Map<string, number>();
  private readonly mostRoles: number;
  private readonly sites: number;

  constructor(
    services: readonly PooledService[],
    candidates: readonly PoolerCandidate[],
  ) {
    const proxies = candidates.length;
    this.candidates = new Map(candidates.map(one => [one.instance, one]));
    this.sites = new Set(candidates.map(({site}) => site)).size;
    this.wanted = new Map(
      services.map(entry => {
        const count = this.countFor(entry, services.length);
        return [entry.service, count];
      }),
    );
    const total = [...this.wanted.values()].reduce((sum, one) => sum + one, 0);
    this.mostRoles = Math.ceil(total / Math.max(1, proxies));
  }

  /**
   * How many poolers a service gets: about one part for each proxy, and one in
   * each site at least. 0 where each proxy serves it itself.
   */
  private countFor({connections}: PooledService, services: number): number {
    const proxies = this.candidates.size;
    const shared = usableConnections(connections);
    const {sites} = this;
    // A site without a pooler would send all its work to another one.
    if (Math.floor(shared / sites) < LEAST_SHARE) return 0;
    const ample = Math.floor(shared / POOLER_SHARE);
    const busy = Math.max(sites, Math.floor(proxies / services));
    const count = Math.max(sites, Math.min(ample, busy));
    return proxies >= count * LEAST_PROXIES_A_POOLER ? count : 0;
  }

  make(inPlace: readonly PoolerEntry[]): void {
    for (const {service, instance} of inPlace) this.keep(service, instance);
    this.fill();
  }

  /**
   * Keeps a pooler in place, unless it has more than its part.
   *
   * Guard: poolers named while most proxies of a site were away have the work
   * of all of them, and their links and processors fill up. When the others
   * are back, all parts above an equal one go to them.
   */
  private keep(service: string, instance: string): void {
    const candidate = this.candidates.get(instance);
    if (!candidate) return;
    const own = this.poolersOf(service);
    const wanted = this.wanted.get(service) ?? 0;
    const inSite = own.filter(({site}) => site === candidate.site).length;
    if (own.length >= wanted || inSite >= this.mostInSite(service)) return;
    if (this.rolesOf(instance) >= this.mostRoles) return;
    this.add(service, candidate);
  }

  /** Names poolers where some are missing. */
  private fill(): void {
    for (const [service, count] of this.wanted) {
      for (;;) {
        const own = this.poolersOf(service);
        const next = own.length < count && this.next(service, own);
        if (!next) break;
        this.add(service, next);
      }
    }
  }

  private add(
    service: string,
    {instance, address, site}: PoolerCandidate,
  ): void {
    const entry = {service, instance, address, site};
    this.entries.push(entry);
    const own = this.byService.get(service);
    if (own) own.push(entry);
    else this.byService.set(service, [entry]);
    this.roles.set(instance, this.rolesOf(instance) + 1);
  }

  private rolesOf(instance: string): number {
    return this.roles.get(instance) ?? 0;
  }

  private poolersOf(service: string): readonly PoolerEntry[] {
    return this.byService.get(service) ?? [];
  }

  /** How many poolers of a service an equal spread puts into one site. */
  private mostInSite(service: string): number {
    const wanted = this.wanted.get(service) ?? 0;
    return Math.ceil(wanted / Math.max(1, this.sites));
  }

  /** The least busy proxy, in the site with the fewest poolers. */
  private next(
    service: string,
    own: readonly PoolerEntry[],
  ): PoolerCandidate | undefined {
    let best: PoolerCandidate | undefined;
    let least: readonly number[] = [];
    for (const candidate of this.candidates.values()) {
      const {instance, site} = candidate;
      if (own.some(other => other.instance === instance)) continue;
      const inSite = own.filter(other => other.site === site).length;
      const hash = hashOf(`${service} ${instance}`);
      const isFull = inSite >= this.mostInSite(service) ? 1 : 0;
      const rank = [isFull, this.rolesOf(instance), inSite, hash];
      if (best && !isBefore(rank, least)) continue;
      best = candidate;
      least = rank;
    }
    return best;
  }
}

function isBefore(a: readonly number[], b: readonly number[]): boolean {
  const at = a.findIndex((value, index) => value !== b[index]);
  return at >= 0 && a[at]! < b[at]!;
}

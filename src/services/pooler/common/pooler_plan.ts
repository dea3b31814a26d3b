import type {PoolerEntry} from '../../../schema/generated/fleet';

/** A proxy that can keep connections for others. */
export interface Candidate {
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
 * Below this many connections for each proxy and member, proxies that serve
 * callers alone would open one for nearly each transaction.
 */
const DIRECT_SHARE = 2;
/**
 * Connections to one member that a pooler has at least. A member runs 2 to 5
 * statements at a time; with fewer connections, transactions that rest between
 * statements would keep a pooler's own queue waiting while slots are free.
 */
const POOLER_SHARE = 5;
/** Connections to each member that are left to control and to handovers. */
const RESERVED_CONNECTIONS = 2;

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
  candidates: readonly Candidate[],
  inPlace: readonly PoolerEntry[],
): PoolerEntry[] {
  const roles = new Map(candidates.map(({instance}) => [instance, 0]));
  const plan: PoolerEntry[] = [];
  const add = (service: string, candidate: Candidate) => {
    const {instance, address, site} = candidate;
    plan.push({service, instance, address, site});
    roles.set(instance, (roles.get(instance) ?? 0) + 1);
  };
  const wanted = new Map(
    services.map(entry => [entry.service, poolersOf(entry, candidates.length)]),
  );
  for (const {service, instance} of inPlace) {
    const kept = candidates.find(other => other.instance === instance);
    const count = plan.filter(other => other.service === service).length;
    if (kept && count < (wanted.get(service) ?? 0)) add(service, kept);
  }
  for (const [service, count] of wanted) {
    for (;;) {
      const own = plan.filter(other => other.service === service);
      if (own.length >= count) break;
      const next = nextPooler(service, candidates, own, roles);
      if (!next) break;
      add(service, next);
    }
  }
  return plan;
}

/** How many poolers a service gets; 0 where each proxy serves it itself. */
function poolersOf({connections}: PooledService, proxies: number): number {
  const shared = connections - RESERVED_CONNECTIONS;
  if (shared >= proxies * DIRECT_SHARE) return 0;
  return Math.max(1, Math.floor(shared / POOLER_SHARE));
}

/** In the site with the fewest poolers of the service, the least busy one. */
function nextPooler(
  service: string,
  candidates: readonly Candidate[],
  own: readonly PoolerEntry[],
  roles: ReadonlyMap<string, number>,
): Candidate | undefined {
  const free = candidates.filter(({instance}) => {
    return !own.some(other => other.instance === instance);
  });
  const rankOf = ({instance, site}: Candidate) => {
    const inSite = own.filter(other => other.site === site).length;
    return [inSite, roles.get(instance) ?? 0, hashOf(`${service} ${instance}`)];
  };
  return free.reduce<Candidate | undefined>((best, candidate) => {
    if (!best) return candidate;
    return isBefore(rankOf(candidate), rankOf(best)) ? candidate : best;
  }, undefined);
}

function isBefore(a: readonly number[], b: readonly number[]): boolean {
  const at = a.findIndex((value, index) => value !== b[index]);
  return at >= 0 && a[at]! < b[at]!;
}

/** FNV-1a: the same on every instance, without a secret. */
export function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193) >>> 0;
  }
  return hash;
}

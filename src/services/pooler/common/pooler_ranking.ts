import {hashOf} from '../../../base/common/hash';
import type {MemberUser} from '../../../base/common/ids';
import type {PoolerEntry} from '../../../schema/generated/fleet';

/** Where a proxy is, to find the poolers near it. */
export interface ProxyLocation {
  readonly instance: string;
  readonly site: string;
  regionOf(site: string): string;
  /** The region of the primary of a service; undefined where none is known. */
  primaryRegionOf(service: string): string | undefined;
}

/** The work that a pooler is wanted for. */
export interface PoolerRequirements {
  readonly service: string;
  /** Whose connections it uses. */
  readonly user: MemberUser;
  readonly needsPrimary: boolean;
}

/** The order in which a proxy uses the poolers of a service. */
export interface PoolerRanking {
  rank(
    poolers: readonly PoolerEntry[],
    wish: PoolerRequirements,
  ): PoolerEntry[];
}

/**
 * Its own site's first, then its region's. Among equals each proxy has an order
 * of its own, so that those of a pooler that is lost spread over the others.
 */
export class NearestPoolerRanking implements PoolerRanking {
  constructor(private readonly here: ProxyLocation) {}

  rank(
    poolers: readonly PoolerEntry[],
    {service}: PoolerRequirements,
  ): PoolerEntry[] {
    const {here} = this;
    return rankBy(poolers, service, ({site, instance}) => [
      distanceOf(site, here),
      hashOf(`${here.instance} ${instance}`),
    ]);
  }
}

/**
 * All work of an account on one member goes to one pooler, whichever proxy its
 * callers come to: by rendezvous hashing among those of the region in which the
 * work is done, the primary's for what needs it and the caller's otherwise.
 *
 * Buys: a connection serves one account only. With each site's own pooler, six
 * of them held six connections each for 74 accounts, and two operations of
 * three opened one (12 ms of one of a member's three slots).
 */
export class AccountAffinityRanking implements PoolerRanking {
  constructor(private readonly here: ProxyLocation) {}

  rank(
    poolers: readonly PoolerEntry[],
    {service, user, needsPrimary}: PoolerRequirements,
  ): PoolerEntry[] {
    const {here} = this;
    const own = here.regionOf(here.site);
    const primary = needsPrimary ? here.primaryRegionOf(service) : undefined;
    const region = primary ?? own;
    return rankBy(poolers, service, ({site, instance}) => [
      here.regionOf(site) === region ? 0 : 1,
      hashOf(`${user} ${instance}`),
    ]);
  }
}

type Rank = readonly [number, number];

function rankBy(
  poolers: readonly PoolerEntry[],
  service: string,
  rankOf: (entry: PoolerEntry) => Rank,
): PoolerEntry[] {
  const own = poolers.filter(other => other.service === service);
  const ranked = own.map(entry => ({entry, rank: rankOf(entry)}));
  ranked.sort((a, b) => a.rank[0] - b.rank[0] || a.rank[1] - b.rank[1]);
  return ranked.map(({entry}) => entry);
}

function distanceOf(site: string, here: ProxyLocation): number {
  if (site === here.site) return 0;
  return here.regionOf(site) === here.regionOf(here.site) ? 1 : 2;
}

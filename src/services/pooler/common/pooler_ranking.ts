import {hashText} from '../../../base/common/hash';
import type {MemberUser} from '../../../base/common/ids';
import type {PoolerEntry} from '../../../schema/generated/fleet';

/** The location of a proxy, from which the distance to poolers is derived. */
export interface ProxyLocation {
  readonly instance: string;
  readonly site: string;
  regionOf(site: string): string;
  /** The region of the primary of a service; undefined if unknown. */
  primaryRegionOf(service: string): string | undefined;
}

/** What a request needs of a pooler. */
export interface PoolerRequirements {
  readonly service: string;
  /** The database user whose connections the request uses. */
  readonly user: MemberUser;
  readonly needsPrimary: boolean;
}

/** Ranks the poolers of a service by preference. */
export interface PoolerRanking {
  rank(
    poolers: readonly PoolerEntry[],
    requirements: PoolerRequirements,
  ): PoolerEntry[];
}

/**
 * Prefers poolers in the proxy's own site, then in its region. Ties are broken
 * by a hash per proxy, so that the load of a lost pooler spreads over the
 * others.
 */
export class NearestPoolerRanking implements PoolerRanking {
  constructor(private readonly location: ProxyLocation) {}

  rank(
    poolers: readonly PoolerEntry[],
    {service}: PoolerRequirements,
  ): PoolerEntry[] {
    const {location} = this;
    return rankBy(poolers, service, ({site, instance}) => [
      distanceOf(site, location),
      hashText(`${location.instance} ${instance}`),
    ]);
  }
}

/**
 * Sends all requests of an account in a region to one pooler, chosen by
 * rendezvous hashing, whichever proxy receives them. A connection serves a
 * single account, so spreading an account over poolers would open more
 * connections. The region is the primary's for requests that need the primary,
 * and the proxy's own otherwise.
 */
export class AccountAffinityRanking implements PoolerRanking {
  constructor(private readonly location: ProxyLocation) {}

  rank(
    poolers: readonly PoolerEntry[],
    {service, user, needsPrimary}: PoolerRequirements,
  ): PoolerEntry[] {
    const {location} = this;
    const ownRegion = location.regionOf(location.site);
    const primaryRegion = needsPrimary
      ? location.primaryRegionOf(service)
      : undefined;
    const region = primaryRegion ?? ownRegion;
    return rankBy(poolers, service, ({site, instance}) => [
      location.regionOf(site) === region ? 0 : 1,
      hashText(`${user} ${instance}`),
    ]);
  }
}

type Rank = readonly [number, number];

function rankBy(
  poolers: readonly PoolerEntry[],
  service: string,
  rankOf: (entry: PoolerEntry) => Rank,
): PoolerEntry[] {
  const ofService = poolers.filter(entry => entry.service === service);
  const ranked = ofService.map(entry => ({entry, rank: rankOf(entry)}));
  ranked.sort((a, b) => a.rank[0] - b.rank[0] || a.rank[1] - b.rank[1]);
  return ranked.map(({entry}) => entry);
}

function distanceOf(site: string, location: ProxyLocation): number {
  if (site === location.site) return 0;
  return location.regionOf(site) === location.regionOf(location.site) ? 1 : 2;
}

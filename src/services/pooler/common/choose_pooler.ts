import type {PoolerEntry} from '../../../schema/generated/fleet';
import {hashOf} from './pooler_plan';

/** Where a proxy is, to find the poolers near it. */
export interface Whereabouts {
  readonly instance: string;
  readonly site: string;
  regionOf(site: string): string;
}

/**
 * The poolers of a service in the order in which this proxy uses them: its own
 * site's first, then its region's. Among equals each proxy has an order of its
 * own, so that those of a pooler that is lost spread over the others.
 */
export function rankPoolers(
  poolers: readonly PoolerEntry[],
  service: string,
  here: Whereabouts,
): PoolerEntry[] {
  const own = poolers.filter(other => other.service === service);
  const ranked = own.map(entry => ({
    entry,
    distance: distanceOf(entry.site, here),
    hash: hashOf(`${here.instance} ${entry.instance}`),
  }));
  ranked.sort((a, b) => a.distance - b.distance || a.hash - b.hash);
  return ranked.map(({entry}) => entry);
}

function distanceOf(site: string, here: Whereabouts): number {
  if (site === here.site) return 0;
  return here.regionOf(site) === here.regionOf(here.site) ? 1 : 2;
}

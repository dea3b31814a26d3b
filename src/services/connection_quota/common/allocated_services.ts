import type {
  Catalog,
  Member,
  PoolerEntry,
} from '../../../schema/generated/fleet';
import {usableConnections} from '../../dispatch/common/usable_connections';

/** A service whose members' connections control hands out. */
export interface AllocatedService {
  /** Connections to one member that all instances together may have. */
  readonly shared: number;
  readonly members: readonly string[];
  readonly poolers: ReadonlySet<string>;
}

/** What control knows when it hands connections out. */
export interface AllocationInputs {
  readonly catalog: Catalog | undefined;
  readonly members: readonly Member[];
  readonly poolers: readonly PoolerEntry[];
  /** Whether instances differ in size. */
  readonly areUneven: boolean;
}

/**
 * Services that have poolers, and whose callers have accounts with limits or
 * whose instances differ in size. All others share equally.
 */
export function selectAllocatedServices(
  inputs: AllocationInputs,
): Map<string, AllocatedService> {
  const {catalog, members, poolers} = inputs;
  const services = new Map<string, AllocatedService>();
  for (const {service, connections} of catalog?.services ?? []) {
    const own = poolers.filter(other => other.service === service);
    if (own.length === 0 || !isByDemand(service, inputs)) continue;
    services.set(service, {
      shared: usableConnections(connections),
      members: members
        .filter(other => other.service === service)
        .map(({instance}) => instance),
      poolers: new Set(own.map(({instance}) => instance)),
    });
  }
  return services;
}

function isByDemand(
  service: string,
  {catalog, areUneven}: AllocationInputs,
): boolean {
  if (areUneven) return true;
  const hasLimits = catalog?.accounts.some(({limit}) => limit) ?? false;
  const isKeyed = catalog?.routes.some(route => {
    return route.service === service && route.keyed;
  });
  return hasLimits && isKeyed === true;
}

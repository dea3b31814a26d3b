import type {
  Catalog,
  Member,
  PoolerEntry,
} from '../../../schema/generated/fleet';
import {usableConnections} from '../../dispatch/common/usable_connections';

/** A service whose members' connections are granted by control. */
export interface AllocatedService {
  /** Connections to one member that all instances together may have. */
  readonly usableConnections: number;
  readonly members: readonly string[];
  readonly poolers: ReadonlySet<string>;
}

/** What decides which connections control grants. */
export interface AllocationInputs {
  readonly catalog: Catalog | undefined;
  readonly members: readonly Member[];
  readonly poolers: readonly PoolerEntry[];
  /** Whether instances differ in capacity. */
  readonly areUneven: boolean;
}

/**
 * Returns the services that have poolers, and whose callers have accounts with
 * limits or whose instances differ in capacity. The instances of other services
 * use equal shares of the connections.
 */
export function selectAllocatedServices(
  inputs: AllocationInputs,
): Map<string, AllocatedService> {
  const {catalog, members, poolers} = inputs;
  const services = new Map<string, AllocatedService>();
  for (const {service, connections} of catalog?.services ?? []) {
    const own = poolers.filter(other => other.service === service);
    if (own.length === 0 || !isAllocated(service, inputs)) continue;
    services.set(service, {
      usableConnections: usableConnections(connections),
      members: members
        .filter(other => other.service === service)
        .map(({instance}) => instance),
      poolers: new Set(own.map(({instance}) => instance)),
    });
  }
  return services;
}

function isAllocated(
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

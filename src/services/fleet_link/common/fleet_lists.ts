import type {Member, PoolerEntry} from '../../../schema/generated/fleet';
import type {EntryComparer} from './revisioned_list';

/** All members, and the number of proxies. */
export interface FleetMembers {
  readonly members: readonly Member[];
  /** Divisor of the connections to members; 0 until the proxies are counted. */
  readonly proxyCount: number;
}

/** All poolers. */
export interface FleetPoolers {
  readonly poolers: readonly PoolerEntry[];
}

/** Identifies members by their instance. */
export const MEMBER_COMPARER: EntryComparer<Member> = {
  keyOf: ({instance}) => instance,
  isEqual: (a, b) => hasSameFields(a, b),
};

/**
 * Identifies poolers by service and instance: a proxy may pool for several
 * services.
 */
export const POOLER_COMPARER: EntryComparer<PoolerEntry> = {
  keyOf: ({service, instance}) => `${service} ${instance}`,
  isEqual: (a, b) => hasSameFields(a, b),
};

/** Compares messages whose fields are all primitive values. */
function hasSameFields<T extends object>(a: T, b: T): boolean {
  const names = Object.keys(a) as (keyof T)[];
  return names.every(name => a[name] === b[name]);
}

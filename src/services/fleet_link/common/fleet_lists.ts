import type {Member, PoolerEntry} from '../../../schema/generated/fleet';
import type {EntryComparer} from './revisioned_list';

/** All members that a proxy knows, and how many proxies there are. */
export interface FleetMembers {
  readonly members: readonly Member[];
  /** To divide connections among them; 0 where they are not counted yet. */
  readonly proxyCount: number;
}

/** All proxies that keep connections for others. */
export interface FleetPoolers {
  readonly poolers: readonly PoolerEntry[];
}

/** Members are told apart by their instances. */
export const MEMBER_COMPARER: EntryComparer<Member> = {
  keyOf: ({instance}) => instance,
  isEqual: (a, b) => hasSameFields(a, b),
};

/** A proxy keeps connections of several services. */
export const POOLER_COMPARER: EntryComparer<PoolerEntry> = {
  keyOf: ({service, instance}) => `${service} ${instance}`,
  isEqual: (a, b) => hasSameFields(a, b),
};

/** Compares messages whose fields are all plain values. */
function hasSameFields<T extends object>(a: T, b: T): boolean {
  const names = Object.keys(a) as (keyof T)[];
  return names.every(name => a[name] === b[name]);
}

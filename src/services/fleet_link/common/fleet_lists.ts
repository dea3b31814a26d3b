import type {Member, PoolerEntry} from '../../../schema/generated/fleet';
import type {EntryKind} from './keyed_changes';

/** All members that a proxy knows, and how many proxies there are. */
export interface FleetMembers {
  readonly members: readonly Member[];
  /** To divide connections among them; 0 where they are not counted yet. */
  readonly proxies: number;
}

/** All proxies that keep connections for others. */
export interface FleetPoolers {
  readonly poolers: readonly PoolerEntry[];
}

/** Members are told apart by their instances. */
export const MEMBERS: EntryKind<Member> = {
  nameOf: ({instance}) => instance,
  isSame: (a, b) => hasSameFields(a, b),
};

/** A proxy keeps connections of several services. */
export const POOLERS: EntryKind<PoolerEntry> = {
  nameOf: ({service, instance}) => `${service} ${instance}`,
  isSame: (a, b) => hasSameFields(a, b),
};

/** Compares messages whose fields are all plain values. */
function hasSameFields<T extends object>(a: T, b: T): boolean {
  const names = Object.keys(a) as (keyof T)[];
  return names.every(name => a[name] === b[name]);
}

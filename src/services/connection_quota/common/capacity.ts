import type {FollowerHello} from '../../../schema/generated/fleet';

/** What an instance may use of its machine; 0 where it is unknown. */
export interface InstanceCapacity {
  /** Processor cores; may be a fraction. */
  readonly cores: number;
  /** Bandwidth of its network link, in megabits a second. */
  readonly linkMbps: number;
}

/** The capacity of an instance that has no settings for it. */
export const UNKNOWN_CAPACITY: InstanceCapacity = {cores: 0, linkMbps: 0};

/** A smaller ratio of the largest to the smallest capacity does not count. */
const MIN_UNEVEN_RATIO = 1.05;

/** Reads the capacity that an instance reported when it attached. */
export function capacityOf(hello: FollowerHello): InstanceCapacity {
  const {capacityCores: cores, capacityLinkMbps: linkMbps} = hello;
  return {cores, linkMbps};
}

/** Whether instances differ in capacity, as far as it is known. */
export function areUneven(all: Iterable<InstanceCapacity>): boolean {
  const capacities = [...all];
  return (
    differ(capacities.map(({cores}) => cores)) ||
    differ(capacities.map(({linkMbps}) => linkMbps))
  );
}

function differ(values: readonly number[]): boolean {
  const known = values.filter(value => value > 0);
  return Math.max(...known) > Math.min(...known) * MIN_UNEVEN_RATIO;
}

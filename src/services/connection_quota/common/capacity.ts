import type {FollowerHello} from '../../../schema/generated/fleet';

/** What an instance may use of its machine; 0 where it does not know. */
export interface InstanceCapacity {
  /** Processor cores, parts of one too. */
  readonly cores: number;
  /** Its link to others, in megabits a second. */
  readonly linkMbps: number;
}

/** Of an instance that knows nothing of its machine. */
export const UNKNOWN_CAPACITY: InstanceCapacity = {cores: 0, linkMbps: 0};

/** Instances differ once the largest has so many times what the smallest has. */
const UNEVEN_FACTOR = 1.05;

/** What an instance said of its size when it came. */
export function capacityOf(hello: FollowerHello): InstanceCapacity {
  const {capacityCores: cores, capacityLinkMbps: linkMbps} = hello;
  return {cores, linkMbps};
}

/** Whether instances differ in size, as far as they know theirs. */
export function areUneven(all: Iterable<InstanceCapacity>): boolean {
  const capacities = [...all];
  return (
    differ(capacities.map(({cores}) => cores)) ||
    differ(capacities.map(({linkMbps}) => linkMbps))
  );
}

function differ(sizes: readonly number[]): boolean {
  const known = sizes.filter(size => size > 0);
  return Math.max(...known) > Math.min(...known) * UNEVEN_FACTOR;
}

import type {
  Catalog,
  Member,
  PoolerEntry,
} from '../../../schema/generated/fleet';
import {selectAllocatedServices} from './allocated_services';
import {areUneven, type InstanceCapacity} from './capacity';
import {ConnectionAllocator} from './connection_allocator';

/** The state of control that connections are allocated by. */
export interface AllocationSource {
  catalog(): Catalog | undefined;
  members(): readonly Member[];
  membersRevision(): number;
  poolers(): readonly PoolerEntry[];
  /** Capacities of the attached proxies. */
  capacities(): readonly InstanceCapacity[];
}

/** Allocates connections on an instance of control, over all its terms. */
export class ConnectionAllocation {
  private allocator = new ConnectionAllocator(0);
  private knownInputs: readonly unknown[] = [];
  /** Stays set in a term, as proxies attach one by one. */
  private isUneven = false;

  constructor(private readonly source: AllocationSource) {}

  /** Starts with a new allocator. */
  onDidBecomeLeader(now: number): void {
    this.allocator = new ConnectionAllocator(now);
    this.knownInputs = [];
    this.isUneven = false;
  }

  /** Checks whether proxies differ in capacity. */
  checkCapacities(): void {
    if (this.isUneven || this.source.poolers().length === 0) return;
    this.isUneven = areUneven(this.source.capacities());
  }

  /** The allocator of this term, with the current services. */
  get currentAllocator(): ConnectionAllocator {
    const {source} = this;
    const catalog = source.catalog();
    const poolers = source.poolers();
    const revision = source.membersRevision();
    const known = [catalog, poolers, revision, this.isUneven];
    if (known.some((value, index) => value !== this.knownInputs[index])) {
      this.knownInputs = known;
      const members = source.members();
      const inputs = {catalog, members, poolers, areUneven: this.isUneven};
      this.allocator.setServices(selectAllocatedServices(inputs));
    }
    return this.allocator;
  }
}

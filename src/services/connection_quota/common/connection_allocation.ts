import type {
  Catalog,
  Member,
  PoolerEntry,
} from '../../../schema/generated/fleet';
import {areUneven, type InstanceCapacity} from './capacity';
import {ConnectionAllocator} from '../../connection_quota/common/connection_allocator';
import {selectAllocatedServices} from './allocated_services';

/** What connections are handed out by. */
export interface AllocationSource {
  catalog(): Catalog | undefined;
  members(): readonly Member[];
  membersRevision(): number;
  poolers(): readonly PoolerEntry[];
  /** Of the proxies that are attached. */
  capacities(): readonly InstanceCapacity[];
}

/** Control's part in handing out connections, over its leaderships. */
export class ConnectionAllocation {
  private allocator = new ConnectionAllocator(0);
  private known: readonly unknown[] = [];
  /** Once seen: proxies that come back one by one would switch it off. */
  private uneven = false;

  constructor(private readonly source: AllocationSource) {}

  /** Begins anew with a leadership. */
  onDidBecomeLeader(now: number): void {
    this.allocator = new ConnectionAllocator(now);
    this.known = [];
    this.uneven = false;
  }

  /** Looks whether instances differ in size. */
  checkCapacities(): void {
    if (this.uneven || this.source.poolers().length === 0) return;
    this.uneven = areUneven(this.source.capacities());
  }

  /** Who may open how many connections, by what is known now. */
  get currentAllocator(): ConnectionAllocator {
    const {source} = this;
    const catalog = source.catalog();
    const poolers = source.poolers();
    const revision = source.membersRevision();
    const known = [catalog, poolers, revision, this.uneven];
    if (known.some((value, at) => value !== this.known[at])) {
      this.known = known;
      const members = source.members();
      const inputs = {catalog, members, poolers, areUneven: this.uneven};
      this.allocator.setServices(selectAllocatedServices(inputs));
    }
    return this.allocator;
  }
}

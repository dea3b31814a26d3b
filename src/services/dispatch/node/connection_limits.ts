import type {Member, ServiceEntry} from '../../../schema/generated/fleet';
import {
  computeConnectionLimit,
  computeEqualShare,
  keepsIdleConnection,
  type ConnectionPeers,
} from '../common/connection_share';
import {usableConnections} from '../common/usable_connections';
import type {DispatcherDependencies} from './dispatcher_messages';

/** How many connections to each member of a service this instance may have. */
export class ConnectionLimits {
  private definition: ServiceEntry;
  private sharers: ConnectionPeers = {
    instanceCount: 1,
    sameRegionCount: 0,
    isPooledElsewhere: false,
  };
  /** Work of accounts came, which cannot use a connection kept for anybody. */
  private hasAccounts = false;
  private readonly since: number;

  constructor(private readonly around: DispatcherDependencies) {
    const {service, clock} = around;
    this.since = clock.now();
    this.definition = {service, connections: 8, confirmations: 0};
  }

  setDefinition(definition: ServiceEntry): void {
    this.definition = definition;
  }

  setPeers(sharers: ConnectionPeers): void {
    this.sharers = sharers;
  }

  /** Takes note that work of an account came. */
  onAccount(): void {
    this.hasAccounts = true;
  }

  get servesAccounts(): boolean {
    return this.hasAccounts;
  }

  /** Connections that this instance may have to one member. */
  limitOf(member: Member): number {
    const granted = this.grantOf(member);
    if (granted !== undefined) return granted;
    return computeConnectionLimit({
      usableCount: this.shared,
      equalShare: this.equalShareOf(member),
      ageMs: this.around.clock.now() - this.since,
    });
  }

  /** What of it is not for others too: a grant, or its equal share. */
  shareOf(member: Member): number {
    return this.grantOf(member) ?? this.equalShareOf(member);
  }

  /** What control granted; undefined where it hands no connections out. */
  grantOf(member: Member): number | undefined {
    const {connectionQuota} = this.around;
    if (!connectionQuota.isManagedByControl) return undefined;
    const {service, instance} = member;
    const equal = this.equalShareOf(member);
    return connectionQuota.limitOf(service, instance, equal);
  }

  /** Its equal share of a member; may be below 1. */
  private equalShareOf(member: Member): number {
    const {instanceCount, sameRegionCount} = this.sharers;
    const sharers = {
      instanceCount,
      sameRegionCount: this.hasAccounts ? sameRegionCount : 0,
    };
    return computeEqualShare(this.shared, sharers, this.isSameRegion(member));
  }

  /**
   * Whether one connection to a member is kept while it has no work.
   *
   * Guard: instances that are no poolers held one each since before poolers
   * were named. The members' connections ran out while many of them rested.
   */
  keepsIdleConnection(member: Member, isPrimary: boolean): boolean {
    if (
      this.sharers.isPooledElsewhere &&
      this.around.connectionQuota.isManagedByControl
    ) {
      return false;
    }
    return keepsIdleConnection({
      servesAccounts: this.hasAccounts,
      equalShare: this.equalShareOf(member),
      isPrimary,
      isSameRegion: this.isSameRegion(member),
    });
  }

  /** Whether a member is in the region of this instance. */
  isSameRegion({site}: Member): boolean {
    return this.around.regionOf(site) === this.around.region;
  }

  /** Connections to one member that all instances together may have. */
  private get shared(): number {
    return usableConnections(this.definition.connections);
  }
}

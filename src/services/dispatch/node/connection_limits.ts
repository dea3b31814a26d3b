import type {Member, ServiceEntry} from '../../../schema/generated/fleet';
import {
  computeConnectionLimit,
  computeEqualShare,
  keepsIdleConnection,
  type ConnectionPeers,
} from '../common/connection_share';
import {usableConnections} from '../common/usable_connections';
import type {DispatcherDependencies} from './dispatcher_messages';

/** Limits this instance's connections to each member of a service. */
export class ConnectionLimits {
  private definition: ServiceEntry;
  private peers: ConnectionPeers = {
    instanceCount: 1,
    sameRegionCount: 0,
    isPooledElsewhere: false,
  };
  /** Connections belong to accounts and cannot be kept for any request. */
  private hasAccounts = false;
  private readonly startedAt: number;

  constructor(private readonly dependencies: DispatcherDependencies) {
    const {service, clock} = dependencies;
    this.startedAt = clock.now();
    this.definition = {service, connections: 8, confirmations: 0};
  }

  setDefinition(definition: ServiceEntry): void {
    this.definition = definition;
  }

  setPeers(peers: ConnectionPeers): void {
    this.peers = peers;
  }

  /** Records a request of an account. */
  onAccount(): void {
    this.hasAccounts = true;
  }

  get servesAccounts(): boolean {
    return this.hasAccounts;
  }

  /** Connections that this instance may have to a member. */
  limitOf(member: Member): number {
    const granted = this.grantOf(member);
    if (granted !== undefined) return granted;
    return computeConnectionLimit({
      usableCount: this.usableCount,
      equalShare: this.equalShareOf(member),
      ageMs: this.dependencies.clock.now() - this.startedAt,
    });
  }

  /** The grant or equal share, which this instance need not leave to others. */
  shareOf(member: Member): number {
    return this.grantOf(member) ?? this.equalShareOf(member);
  }

  /** Connections that control granted; undefined if it grants none at all. */
  grantOf(member: Member): number | undefined {
    const {connectionQuota} = this.dependencies;
    if (!connectionQuota.isManagedByControl) return undefined;
    const {service, instance} = member;
    const equalShare = this.equalShareOf(member);
    return connectionQuota.limitOf(service, instance, equalShare);
  }

  /** This instance's equal share of a member; may be below 1. */
  private equalShareOf(member: Member): number {
    const {instanceCount, sameRegionCount} = this.peers;
    const peers = {
      instanceCount,
      sameRegionCount: this.hasAccounts ? sameRegionCount : 0,
    };
    return computeEqualShare(
      this.usableCount,
      peers,
      this.isSameRegion(member),
    );
  }

  /**
   * Whether to keep one idle connection to a member.
   *
   * Guard: instances that are not poolers would each keep one from before
   * poolers were assigned, and use up the members' connections while idle.
   */
  keepsIdle(member: Member, isPrimary: boolean): boolean {
    if (
      this.peers.isPooledElsewhere &&
      this.dependencies.connectionQuota.isManagedByControl
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

  isSameRegion({site}: Member): boolean {
    return this.dependencies.regionOf(site) === this.dependencies.region;
  }

  /** Connections to a member that all instances share. */
  private get usableCount(): number {
    return usableConnections(this.definition.connections);
  }
}

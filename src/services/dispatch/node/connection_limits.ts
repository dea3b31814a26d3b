import type {Member, ServiceEntry} from '../../../schema/generated/fleet';
import {
  connectionLimit,
  equalShare,
  keepsStandby,
  type ConnectionSharers,
} from '../common/connection_share';
import {sharedConnections} from '../common/shared_connections';
import type {DispatcherSurroundings} from './dispatcher_messages';

/** How many connections to each member of a service this instance may have. */
export class ConnectionLimits {
  private definition: ServiceEntry;
  private sharers: ConnectionSharers = {all: 1, near: 0, elsewhere: false};
  /** Work of accounts came, which cannot use a connection kept for anybody. */
  private hasAccounts = false;
  private readonly since: number;

  constructor(private readonly around: DispatcherSurroundings) {
    const {service, clock} = around;
    this.since = clock.now();
    this.definition = {service, connections: 8, confirmations: 0};
  }

  setDefinition(definition: ServiceEntry): void {
    this.definition = definition;
  }

  setSharers(sharers: ConnectionSharers): void {
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
    return connectionLimit({
      shared: this.shared,
      equal: this.equalShareOf(member),
      ageMs: this.around.clock.now() - this.since,
    });
  }

  /** What of it is not for others too: a grant, or its equal share. */
  shareOf(member: Member): number {
    return this.grantOf(member) ?? this.equalShareOf(member);
  }

  /** What control granted; undefined where it hands no connections out. */
  grantOf(member: Member): number | undefined {
    const {room} = this.around;
    if (!room.isShared) return undefined;
    const {service, instance} = member;
    const equal = this.equalShareOf(member);
    return room.limitOf(service, instance, equal);
  }

  /** Its equal share of a member; may be below 1. */
  private equalShareOf(member: Member): number {
    const {all, near} = this.sharers;
    const sharers = {all, near: this.hasAccounts ? near : 0};
    return equalShare(this.shared, sharers, this.isNear(member));
  }

  /**
   * Whether one connection to a member is kept while it has no work.
   *
   * Guard: instances that are no poolers held one each since before poolers
   * were named. The members' connections ran out while many of them rested.
   */
  keepsStandby(member: Member, isPrimary: boolean): boolean {
    if (this.sharers.elsewhere && this.around.room.isShared) return false;
    return keepsStandby({
      servesAccounts: this.hasAccounts,
      equal: this.equalShareOf(member),
      isPrimary,
      sameRegion: this.isNear(member),
    });
  }

  /** Whether a member is in the region of this instance. */
  isNear({site}: Member): boolean {
    return this.around.regionOf(site) === this.around.region;
  }

  /** Connections to one member that all instances together may have. */
  private get shared(): number {
    return sharedConnections(this.definition.connections);
  }
}

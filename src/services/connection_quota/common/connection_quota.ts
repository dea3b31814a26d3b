import type {Clock} from '../../../base/common/clock';
import type {
  ConnectionGrants,
  ConnectionUse,
} from '../../../schema/generated/fleet';
import {GRANT_LEASE_MS, type ConnectionReport} from './connection_allocator';
import {WantedConnections} from './wanted_connections';

/** The connections of a dispatcher to one member. */
export interface MemberUse {
  /** Open and being opened. */
  readonly open: number;
  /** Needed by operations that run or wait for a connection. */
  readonly wanted: number;
}

/** The connections of this proxy to one member, for metrics. */
export interface MemberConnectionsView extends ConnectionUse {
  /** Whether its grant expired. */
  readonly isExpired: boolean;
}

interface KnownMember {
  readonly service: string;
  readonly instance: string;
  open: number;
  readonly wanted: WantedConnections;
  /** Undefined where control grants no connections to the member. */
  granted: number | undefined;
  isExpired: boolean;
  /** The last report; undefined before the first one. */
  reported: ConnectionUse | undefined;
}

/** The report where control requested none. */
export const EMPTY_REPORT: ConnectionReport = {
  connections: [],
  grantsNumber: 0,
};

/** A smaller relative change of the wanted connections is not reported. */
const MIN_REPORTED_FRACTION = 0.25;
const URGENT_INTERVAL_MS = 100;

/**
 * The connections that this proxy may open to members. Reports what is open and
 * wanted to control, and applies the grants that control sends.
 */
export class ConnectionQuota {
  private readonly members = new Map<string, KnownMember>();
  /** Whether any list contained a grant while control manages connections. */
  private wasGranted = false;
  private isManaged = false;
  private isRequested = false;
  /** The number of the newest list of grants in force. */
  private listNumber = 0;
  /** The list that the last report acknowledged. */
  private reportedNumber = 0;
  private reportedAt = -Infinity;
  /** When the newest request was sent that control answered. */
  private renewedAt = -Infinity;
  private attachedAt = -Infinity;
  /** Whether control answered a request within the lease. */
  private hasLease = false;

  constructor(private readonly clock: Clock) {}

  /** Whether control requested reports. */
  get isReportRequested(): boolean {
    return this.isRequested;
  }

  /** Whether control grants connections, by a message within the lease. */
  get isManagedByControl(): boolean {
    this.expireLease();
    return this.isManaged;
  }

  /** Records the connections of a dispatcher to a member. */
  updateUse(service: string, instance: string, use: MemberUse): void {
    const known = this.memberOf(service, instance);
    known.open = use.open;
    known.wanted.record(use.wanted, this.clock.now());
  }

  removeMember(service: string, instance: string): void {
    this.members.delete(keyOf(service, instance));
  }

  /** The member refused more connections than the open ones. */
  onDidRefuseConnection(service: string, instance: string, open: number): void {
    const known = this.members.get(keyOf(service, instance));
    if (known?.granted === undefined) return;
    known.granted = Math.max(1, Math.min(known.granted, open));
  }

  /**
   * Returns how many connections to a member may be open; undefined where
   * control does not manage them. An equal share after the lease expired.
   */
  limitOf(
    service: string,
    instance: string,
    equalShare: number,
  ): number | undefined {
    if (!this.wasGranted) return undefined;
    this.expireLease();
    const known = this.members.get(keyOf(service, instance));
    if (!known) return undefined;
    if (known.granted !== undefined && this.hasLease) return known.granted;
    const isExpired = known.isExpired && (this.isRequested || !this.hasLease);
    return isExpired ? Math.max(1, Math.floor(equalShare)) : undefined;
  }

  // ---- Control ----

  /** This proxy attached to another instance of control. */
  onDidAttach(): void {
    this.isRequested = false;
    this.listNumber = 0;
    this.reportedNumber = 0;
    this.reportedAt = -Infinity;
    this.attachedAt = this.clock.now();
    for (const known of this.members.values()) known.reported = undefined;
  }

  /** Control answered a request that was sent at a time. */
  extendLease(requestedAt: number): void {
    this.expireLease();
    this.renewedAt = Math.max(this.renewedAt, requestedAt);
    this.hasLease = this.clock.now() - this.renewedAt < GRANT_LEASE_MS;
  }

  /** Applies a list of grants, unless it is older than the one in force. */
  setGrants({grants, number}: ConnectionGrants): void {
    if (number <= this.listNumber) return;
    this.isRequested = true;
    this.isManaged = true;
    this.listNumber = number;
    this.wasGranted ||= grants.length > 0;
    for (const {service, instance, connections} of grants) {
      const known = this.memberOf(service, instance);
      known.granted = connections > 0 ? connections : undefined;
      known.isExpired = false;
    }
  }

  /** Whether to report before the next regular request. */
  get isReportUrgent(): boolean {
    if (!this.isRequested) return false;
    if (this.clock.now() - this.reportedAt < URGENT_INTERVAL_MS) return false;
    if (this.reportedNumber !== this.listNumber) return true;
    return [...this.members.values()].some(known => this.isUrgent(known));
  }

  /** Returns what changed since the last report. */
  takeReport(): ConnectionReport {
    if (!this.isRequested) return EMPTY_REPORT;
    this.expireLease();
    const connections: ConnectionUse[] = [];
    for (const known of this.members.values()) {
      const use = this.useOf(known);
      if (known.reported && !isReportable(known.reported, use)) continue;
      known.reported = use;
      connections.push(use);
    }
    this.reportedAt = this.clock.now();
    this.reportedNumber = this.listNumber;
    return {connections, grantsNumber: this.listNumber};
  }

  get views(): readonly MemberConnectionsView[] {
    return [...this.members.values()].map(known => {
      return {...this.useOf(known), isExpired: known.isExpired};
    });
  }

  /** Whether a member was never reported, or much more of it is wanted. */
  private isUrgent(known: KnownMember): boolean {
    const {granted, reported} = known;
    if (reported === undefined) return true;
    const wanted = known.wanted.get(this.clock.now());
    if (granted === undefined || wanted < 2 * granted) return false;
    return wanted >= 2 * reported.wanted;
  }

  private useOf({service, instance, ...known}: KnownMember): ConnectionUse {
    const {open, granted = 0} = known;
    const wanted = known.wanted.get(this.clock.now());
    return {service, instance, open, wanted, granted};
  }

  /**
   * Guard: control grants the share of a pooler that sent nothing for a lease
   * to others. Applied for longer, its grants would be in use twice.
   */
  private expireLease(): void {
    if (!this.isManaged) return;
    const now = this.clock.now();
    const isOver = now - this.renewedAt >= GRANT_LEASE_MS;
    if (this.hasLease && isOver) {
      this.hasLease = false;
      this.dropGrants(true);
    } else if (!this.isRequested && now - this.attachedAt >= GRANT_LEASE_MS) {
      // This leader grants no connections, so those of an earlier one are void.
      this.dropGrants(false);
      this.wasGranted = false;
      this.isManaged = false;
    }
  }

  private dropGrants(isExpired: boolean): void {
    for (const known of this.members.values()) {
      known.isExpired =
        isExpired && (known.isExpired || known.granted !== undefined);
      known.granted = undefined;
      // Control may have freed all of it and needs a full report.
      known.reported = undefined;
    }
  }

  private memberOf(service: string, instance: string): KnownMember {
    const key = keyOf(service, instance);
    const known = this.members.get(key);
    if (known) return known;
    const added: KnownMember = {
      service,
      instance,
      open: 0,
      wanted: new WantedConnections(),
      granted: undefined,
      isExpired: false,
      reported: undefined,
    };
    this.members.set(key, added);
    return added;
  }
}

function keyOf(service: string, instance: string): string {
  return `${service} ${instance}`;
}

/** Whether a change may affect the grants of control. */
function isReportable(before: ConnectionUse, now: ConnectionUse): boolean {
  if (before.granted !== now.granted) return true;
  if (chargeOf(before) !== chargeOf(now)) return true;
  const change = Math.abs(now.wanted - before.wanted);
  return change >= Math.max(1, before.wanted * MIN_REPORTED_FRACTION);
}

/** Connections within a grant are charged as the whole grant. */
function chargeOf({open, granted}: ConnectionUse): number {
  return Math.max(open, granted);
}

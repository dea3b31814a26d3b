import type {Clock} from '../../../base/common/clock';
import type {
  ConnectionGrants,
  ConnectionUse,
} from '../../../schema/generated/fleet';
import {GRANT_LEASE_MS, type ConnectionReport} from './connection_allocator';
import {WantedConnections} from './wanted_connections';

/** What a dispatcher has and would use of one member. */
export interface MemberUse {
  /** Open and being opened. */
  readonly open: number;
  /** Under way, and waiting for a connection. */
  readonly wanted: number;
}

/** One member as this proxy uses it, for metrics. */
export interface MemberConnectionsView extends ConnectionUse {
  readonly isExpired: boolean;
}

interface KnownMember {
  readonly service: string;
  readonly instance: string;
  open: number;
  readonly wanted: WantedConnections;
  /** Undefined where control hands out no connections to the member. */
  granted: number | undefined;
  /** Control was silent for so long that its word counts no more. */
  lapsed: boolean;
  reported: ConnectionUse | undefined;
}

/** What is told where control did not ask. */
export const EMPTY_REPORT: ConnectionReport = {
  connections: [],
  grantsNumber: 0,
};

/** A change of what is wanted by less than this part is not worth a word. */
const NEWS_PART = 0.25;
/** What cannot wait for the next question is told at most so often, in ms. */
const URGENT_EVERY_MS = 100;

/**
 * A proxy's part in handing out connections: what it has and wants of members
 * whose connections it keeps, and what control granted it.
 */
export class ConnectionQuota {
  private readonly members = new Map<string, KnownMember>();
  /** Whether it ever had a grant of those that hand connections out now. */
  private wasGranted = false;
  /** Control hands connections out, by its word of late. */
  private shared = false;
  /** The instance of control that is followed asked what is used here. */
  private asked = false;
  /** The newest list that is kept to. */
  private number = 0;
  /** The list that the last report named. */
  private toldNumber = 0;
  private toldAt = -Infinity;
  /** When the newest question was asked that control answered. */
  private heardAt = -Infinity;
  private attachedAt = -Infinity;
  /** Control answered a question within a lease. */
  private isInTouch = false;

  constructor(private readonly clock: Clock) {}

  /** Whether control asks what is open and wanted here. */
  get isReportRequested(): boolean {
    return this.asked;
  }

  /** Whether control hands out connections, by its word of late. */
  get isManagedByControl(): boolean {
    this.tendLease();
    return this.shared;
  }

  /** Takes note of what a dispatcher has and wants of a member. */
  updateUse(service: string, instance: string, use: MemberUse): void {
    const known = this.memberOf(service, instance);
    known.open = use.open;
    known.wanted.note(use.wanted, this.clock.now());
  }

  /** Takes note that a member is gone. */
  removeMember(service: string, instance: string): void {
    this.members.delete(keyOf(service, instance));
  }

  /** Takes note that a member refused more than is open. */
  onDidRefuseConnection(service: string, instance: string, open: number): void {
    const known = this.members.get(keyOf(service, instance));
    if (known?.granted === undefined) return;
    known.granted = Math.max(1, Math.min(known.granted, open));
  }

  /**
   * Connections that it may have to a member; undefined where control hands
   * none out. Without control for a lease it falls back to an equal share.
   */
  limitOf(
    service: string,
    instance: string,
    equalShare: number,
  ): number | undefined {
    if (!this.wasGranted) return undefined;
    this.tendLease();
    const known = this.members.get(keyOf(service, instance));
    if (!known) return undefined;
    if (known.granted !== undefined && this.isInTouch) return known.granted;
    const isLapsed = known.lapsed && (this.asked || !this.isInTouch);
    return isLapsed ? Math.max(1, Math.floor(equalShare)) : undefined;
  }

  // ---- Control ----

  /** Takes note that another instance of control is followed from now on. */
  onDidAttach(): void {
    this.asked = false;
    this.number = 0;
    this.toldNumber = 0;
    this.toldAt = -Infinity;
    this.attachedAt = this.clock.now();
    for (const known of this.members.values()) known.reported = undefined;
  }

  /** Takes note of an answer of control to a question. */
  extendLease(askedAt: number): void {
    this.tendLease();
    this.heardAt = Math.max(this.heardAt, askedAt);
    this.isInTouch = this.clock.now() - this.heardAt < GRANT_LEASE_MS;
  }

  /** Takes a list of grants, unless it is older than the one in force. */
  setGrants({grants, number}: ConnectionGrants): void {
    if (number <= this.number) return;
    this.asked = true;
    this.shared = true;
    this.number = number;
    this.wasGranted ||= grants.length > 0;
    for (const {service, instance, connections} of grants) {
      const known = this.memberOf(service, instance);
      known.granted = connections > 0 ? connections : undefined;
      known.lapsed = false;
    }
  }

  /** Whether something should be told before the next question. */
  get isReportUrgent(): boolean {
    if (!this.asked) return false;
    if (this.clock.now() - this.toldAt < URGENT_EVERY_MS) return false;
    if (this.toldNumber !== this.number) return true;
    return [...this.members.values()].some(known => this.lacks(known));
  }

  /** What changed since the last report. */
  takeReport(): ConnectionReport {
    if (!this.asked) return EMPTY_REPORT;
    this.tendLease();
    const connections: ConnectionUse[] = [];
    for (const known of this.members.values()) {
      const use = this.useOf(known);
      if (known.reported && !isNews(known.reported, use)) continue;
      known.reported = use;
      connections.push(use);
    }
    this.toldAt = this.clock.now();
    this.toldNumber = this.number;
    return {connections, grantsNumber: this.number};
  }

  /** What it has, wants and may have of each member. */
  get views(): readonly MemberConnectionsView[] {
    return [...this.members.values()].map(known => {
      return {...this.useOf(known), isExpired: known.lapsed};
    });
  }

  private lacks(known: KnownMember): boolean {
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
   * Guard: control frees the part of a pooler that it did not hear for a
   * lease; grants that were kept longer than that would count twice.
   */
  private tendLease(): void {
    if (!this.shared) return;
    const now = this.clock.now();
    const isOver = now - this.heardAt >= GRANT_LEASE_MS;
    if (this.isInTouch && isOver) {
      this.isInTouch = false;
      this.dropGrants(true);
    } else if (!this.asked && now - this.attachedAt >= GRANT_LEASE_MS) {
      // This leader hands none out; what an earlier one said is over.
      this.dropGrants(false);
      this.wasGranted = false;
      this.shared = false;
    }
  }

  private dropGrants(lapsed: boolean): void {
    for (const known of this.members.values()) {
      known.lapsed = lapsed && (known.lapsed || known.granted !== undefined);
      known.granted = undefined;
      // Control may have freed all of it: it needs to hear of it anew.
      known.reported = undefined;
    }
  }

  private memberOf(service: string, instance: string): KnownMember {
    const key = keyOf(service, instance);
    const known = this.members.get(key);
    if (known) return known;
    const made: KnownMember = {
      service,
      instance,
      open: 0,
      wanted: new WantedConnections(),
      granted: undefined,
      lapsed: false,
      reported: undefined,
    };
    this.members.set(key, made);
    return made;
  }
}

function keyOf(service: string, instance: string): string {
  return `${service} ${instance}`;
}

/** Whether control would decide otherwise for it. */
function isNews(before: ConnectionUse, now: ConnectionUse): boolean {
  if (before.granted !== now.granted) return true;
  if (chargeOf(before) !== chargeOf(now)) return true;
  const change = Math.abs(now.wanted - before.wanted);
  return change >= Math.max(1, before.wanted * NEWS_PART);
}

/** What is open within a grant counts as that grant. */
function chargeOf({open, granted}: ConnectionUse): number {
  return Math.max(open, granted);
}

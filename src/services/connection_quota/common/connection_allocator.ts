import type {
  ConnectionGrant,
  ConnectionGrants,
  ConnectionUse,
} from '../../../schema/generated/fleet';
import type {AllocatedService} from './allocated_services';
import {MemberConnections, type GrantChange} from './member_connections';

/** What a pooler reports with a request for leases. */
export interface ConnectionReport {
  readonly connections: ConnectionUse[];
  /** The number of the newest list that it applied; 0 for none. */
  readonly grantsNumber: number;
}

/** A list of changed grants for one pooler. */
export interface GrantList {
  readonly pooler: string;
  readonly value: ConnectionGrants;
}

/** A grant that changed by half or more, for the log. */
export interface LargeGrantChange extends GrantChange {
  readonly service: string;
  readonly instance: string;
  /** The number of the list that carries it. */
  readonly number: number;
}

/** The stream of one pooler to this leader. */
interface Stream {
  /** When it opened or the last report was received. */
  receivedAt: number;
  /** The number of the newest list that the pooler applied. */
  applied: number;
  /** Whether its connections were freed because it did not report. */
  isFree: boolean;
  /** The number of the last list that was sent; 0 for none. */
  sent: number;
  pending: ConnectionGrant[];
}

interface ServiceConnections {
  service: AllocatedService;
  readonly members: Map<string, MemberConnections>;
}

/**
 * How long a pooler applies its grants without a reply of control. Then it
 * uses an equal share, and closes idle connections beyond it.
 */
export const GRANT_LEASE_MS = 3_000;
/** Bounds reported counts; no member accepts more connections. */
const MAX_CONNECTIONS = 65_535;
const MAX_CHANGES = 256;

/**
 * Grants connections to members to the poolers of their services, in one term
 * of a control leader.
 */
export class ConnectionAllocator {
  private readonly services = new Map<string, ServiceConnections>();
  private readonly streams = new Map<string, Stream>();
  /** Poolers without connections until they report. */
  private readonly freed = new Set<string>();
  /** Large changes since the last call of `takeLargeChanges`. */
  private changes: LargeGrantChange[] = [];

  /** @param startedAt When this leader's term began. */
  constructor(private readonly startedAt: number) {}

  /** Whether connections of any service are granted. */
  get isActive(): boolean {
    return this.services.size > 0;
  }

  /** Takes the current services whose connections are granted. */
  setServices(services: ReadonlyMap<string, AllocatedService>): void {
    for (const [name, known] of this.services) {
      const withdrawn = {...known.service, poolers: NO_POOLERS};
      known.service = services.get(name) ?? withdrawn;
    }
    for (const [name, service] of services) {
      const known = this.services.get(name);
      if (!known) this.services.set(name, {service, members: new Map()});
    }
    for (const known of this.services.values()) updateMembers(known);
  }

  /** Takes the report of a pooler. */
  report(pooler: string, report: ConnectionReport, now: number): void {
    const stream = this.streams.get(pooler);
    if (!stream) return;
    stream.receivedAt = now;
    stream.isFree = false;
    const number = Math.min(report.grantsNumber, stream.sent);
    if (number !== stream.applied) this.acknowledge(pooler, number);
    stream.applied = number;
    for (const use of report.connections) {
      const known = this.services.get(use.service)?.members.get(use.instance);
      known?.report(pooler, bounded(use), number, now);
    }
  }

  /** Frees the connections of a pooler whose stream closed. */
  detach(pooler: string): void {
    this.streams.delete(pooler);
    this.free(pooler);
  }

  /**
   * Updates all grants and returns the lists that are to be sent.
   *
   * @param attached The instances that follow this leader.
   */
  allocate(attached: Iterable<string>, now: number): GrantList[] {
    this.updateStreams(attached, now);
    for (const [name, known] of this.services) {
      if (this.isKnown(known, now)) this.allocateService(name, known, now);
    }
    const lists: GrantList[] = [];
    for (const [pooler, stream] of this.streams) {
      const needsFirstList = stream.sent === 0 && this.services.size > 0;
      if (stream.pending.length === 0 && !needsFirstList) continue;
      const number = ++stream.sent;
      lists.push({pooler, value: {grants: stream.pending, number}});
      stream.pending = [];
    }
    return lists;
  }

  /** Returns the grants that changed by half or more since the last call. */
  takeLargeChanges(): readonly LargeGrantChange[] {
    const {changes} = this;
    this.changes = [];
    return changes;
  }

  /** Connections of each member that may be open, for metrics. */
  get charges(): {service: string; instance: string; charged: number}[] {
    return [...this.services].flatMap(([service, {members}]) => {
      return [...members].map(([instance, {charged}]) => {
        return {service, instance, charged};
      });
    });
  }

  private updateStreams(attached: Iterable<string>, now: number): void {
    const present = new Set(attached);
    for (const pooler of present) {
      if (!this.streams.has(pooler)) this.attach(pooler, now);
    }
    for (const [pooler, stream] of this.streams) {
      if (!present.has(pooler)) this.detach(pooler);
      else if (now - stream.receivedAt >= GRANT_LEASE_MS && !stream.isFree) {
        stream.isFree = true;
        this.free(pooler);
      }
    }
  }

  private attach(pooler: string, now: number): void {
    const initial = {applied: 0, isFree: false, sent: 0, pending: []};
    this.streams.set(pooler, {receivedAt: now, ...initial});
    this.freed.delete(pooler);
  }

  private acknowledge(pooler: string, number: number): void {
    for (const {members} of this.services.values()) {
      for (const member of members.values()) member.acknowledge(pooler, number);
    }
  }

  private free(pooler: string): void {
    this.freed.add(pooler);
    for (const {members} of this.services.values()) {
      for (const member of members.values()) member.remove(pooler);
    }
  }

  /**
   * Whether the connections of all poolers of a service are known, and whether
   * all instances that follow this leader reported.
   *
   * Guard: poolers that did not report to a new leader still apply grants of
   * the old one. Granted to others, their connections would be in use twice.
   */
  private isKnown(
    {service, members}: ServiceConnections,
    now: number,
  ): boolean {
    if (now - this.startedAt >= GRANT_LEASE_MS) return true;
    const all = [...this.streams.values()];
    if (!all.every(({applied, isFree}) => applied > 0 || isFree)) return false;
    return [...service.poolers].every(pooler => {
      if (this.freed.has(pooler)) return true;
      return [...members.values()].every(member => member.has(pooler));
    });
  }

  private allocateService(
    service: string,
    known: ServiceConnections,
    now: number,
  ): void {
    const next = (pooler: string) => (this.streams.get(pooler)?.sent ?? 0) + 1;
    for (const [instance, member] of known.members) {
      if (!member.isDue(now)) continue;
      const awaited = [...known.service.poolers].filter(pooler => {
        return this.isResponsive(pooler) && !member.has(pooler);
      });
      const changes = member.allocate(next, awaited.length, now);
      for (const change of changes) {
        const {pooler, after: connections} = change;
        const grant = {service, instance, connections};
        this.streams.get(pooler)?.pending.push(grant);
        this.record({...change, service, instance, number: next(pooler)});
      }
    }
  }

  private isResponsive(pooler: string): boolean {
    return this.streams.get(pooler)?.isFree === false;
  }

  private record(change: LargeGrantChange): void {
    const {before, after} = change;
    const isLarge = Math.abs(after - before) * 2 >= Math.max(before, 1);
    if (isLarge && this.changes.length < MAX_CHANGES) this.changes.push(change);
  }
}

const NO_POOLERS: ReadonlySet<string> = new Set();

function updateMembers({service, members}: ServiceConnections): void {
  for (const instance of service.members) {
    const member = members.get(instance) ?? new MemberConnections();
    member.configure(service.usableConnections, service.poolers);
    members.set(instance, member);
  }
  for (const instance of members.keys()) {
    if (!service.members.includes(instance)) members.delete(instance);
  }
}

function bounded({open, wanted, granted}: ConnectionUse) {
  return {
    open: Math.min(open, MAX_CONNECTIONS),
    wanted: Math.min(wanted, MAX_CONNECTIONS),
    granted: Math.min(granted, MAX_CONNECTIONS),
  };
}

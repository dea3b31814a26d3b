import type {
  ConnectionGrant,
  ConnectionGrants,
  ConnectionUse,
} from '../../../schema/generated/fleet';
import {MemberRoom, type GrantChange} from './member_connections';
import type {AllocatedService} from './allocated_services';

/** What a pooler says with a question. */
export interface ConnectionReport {
  readonly connections: ConnectionUse[];
  /** The newest list that it keeps to; 0 for none. */
  readonly grantsNumber: number;
}

/** A list for one pooler. */
export interface GrantList {
  readonly pooler: string;
  readonly value: ConnectionGrants;
}

/** A grant that changed by half or more, for the log. */
export interface LargeGrantChange extends GrantChange {
  readonly service: string;
  readonly instance: string;
  /** The list that tells it. */
  readonly number: number;
}

/** One pooler's stream to this leader. */
interface Stream {
  heardAt: number;
  /** The newest list that the pooler keeps to. */
  kept: number;
  /** What it had was freed, for it said nothing for long. */
  isFreed: boolean;
  /** The last list; 0 before the first one. */
  sent: number;
  pending: ConnectionGrant[];
}

interface ServiceRoom {
  service: AllocatedService;
  readonly members: Map<string, MemberRoom>;
}

/**
 * A pooler that asked nothing for so long has fallen back to its equal share
 * and given back what it does not use, in milliseconds.
 */
export const GRANT_LEASE_MS = 3_000;
/** A report of more connections than any member takes is no report. */
const MOST_CONNECTIONS = 65_535;
const MOST_NOTED = 256;

/**
 * Hands out the connections to members among the poolers of their services,
 * in one leadership of control.
 */
export class ConnectionAllocator {
  private readonly services = new Map<string, ServiceRoom>();
  private readonly streams = new Map<string, Stream>();
  /** Poolers whose part is known to be free until they report. */
  private readonly gone = new Set<string>();
  private noted: LargeGrantChange[] = [];

  /** @param since When this leadership began. */
  constructor(private readonly since: number) {}

  /** Whether connections of any service are handed out. */
  get isActive(): boolean {
    return this.services.size > 0;
  }

  /** Takes the services whose connections are handed out, as they are now. */
  setServices(services: ReadonlyMap<string, AllocatedService>): void {
    for (const [name, known] of this.services) {
      const withdrawn = {...known.service, poolers: NOBODY};
      known.service = services.get(name) ?? withdrawn;
    }
    for (const [name, service] of services) {
      const known = this.services.get(name);
      if (!known) this.services.set(name, {service, members: new Map()});
    }
    for (const room of this.services.values()) tendMembers(room);
  }

  /** Takes what a pooler has and wants. */
  report(pooler: string, report: ConnectionReport, now: number): void {
    const stream = this.streams.get(pooler);
    if (!stream) return;
    stream.heardAt = now;
    stream.isFreed = false;
    const kept = Math.min(report.grantsNumber, stream.sent);
    if (kept !== stream.kept) this.keep(pooler, kept);
    stream.kept = kept;
    for (const use of report.connections) {
      const room = this.services.get(use.service)?.members.get(use.instance);
      room?.report(pooler, bounded(use), kept, now);
    }
  }

  /** Frees what a pooler had whose stream closed. */
  detach(pooler: string): void {
    this.streams.delete(pooler);
    this.free(pooler);
  }

  /**
   * Shares out anew, and hands out the lists that are to be sent.
   *
   * @param attached The instances that follow this leader.
   */
  allocate(attached: Iterable<string>, now: number): GrantList[] {
    this.tendStreams(attached, now);
    for (const [name, room] of this.services) {
      if (this.isKnown(room, now)) this.share(name, room, now);
    }
    const lists: GrantList[] = [];
    for (const [pooler, stream] of this.streams) {
      const isUnasked = stream.sent === 0 && this.services.size > 0;
      if (stream.pending.length === 0 && !isUnasked) continue;
      const number = ++stream.sent;
      lists.push({pooler, value: {grants: stream.pending, number}});
      stream.pending = [];
    }
    return lists;
  }

  /** Grants that changed by half or more since the last call. */
  takeLargeChanges(): readonly LargeGrantChange[] {
    const {noted} = this;
    this.noted = [];
    return noted;
  }

  /** Connections of each member that may be open, for metrics. */
  get charges(): {service: string; instance: string; charged: number}[] {
    return [...this.services].flatMap(([service, {members}]) => {
      return [...members].map(([instance, {charged}]) => {
        return {service, instance, charged};
      });
    });
  }

  private tendStreams(attached: Iterable<string>, now: number): void {
    const present = new Set(attached);
    for (const pooler of present) {
      if (!this.streams.has(pooler)) this.attach(pooler, now);
    }
    for (const [pooler, stream] of this.streams) {
      if (!present.has(pooler)) this.detach(pooler);
      else if (now - stream.heardAt >= GRANT_LEASE_MS && !stream.isFreed) {
        stream.isFreed = true;
        this.free(pooler);
      }
    }
  }

  private attach(pooler: string, now: number): void {
    const known = {kept: 0, isFreed: false, sent: 0, pending: []};
    this.streams.set(pooler, {heardAt: now, ...known});
    this.gone.delete(pooler);
  }

  private keep(pooler: string, kept: number): void {
    for (const {members} of this.services.values()) {
      for (const member of members.values()) member.keep(pooler, kept);
    }
  }

  private free(pooler: string): void {
    this.gone.add(pooler);
    for (const {members} of this.services.values()) {
      for (const member of members.values()) member.remove(pooler);
    }
  }

  /**
   * Whether all poolers of a service said what they have, or have it no more,
   * and all that follow this leader answered: one may have been a pooler.
   *
   * Guard: a new leader that counts only those that told it already would give
   * the parts of the others away, while they keep to the word of the old one.
   */
  private isKnown({service, members}: ServiceRoom, now: number): boolean {
    if (now - this.since >= GRANT_LEASE_MS) return true;
    const streams = [...this.streams.values()];
    if (!streams.every(({kept, isFreed}) => kept > 0 || isFreed)) return false;
    return [...service.poolers].every(pooler => {
      if (this.gone.has(pooler)) return true;
      return [...members.values()].every(member => member.has(pooler));
    });
  }

  private share(service: string, room: ServiceRoom, now: number): void {
    const next = (pooler: string) => (this.streams.get(pooler)?.sent ?? 0) + 1;
    for (const [instance, member] of room.members) {
      if (!member.isDue(now)) continue;
      const awaited = [...room.service.poolers].filter(pooler => {
        return this.isHeard(pooler) && !member.has(pooler);
      });
      const changes = member.share(next, awaited.length, now);
      for (const change of changes) {
        const {pooler, after: connections} = change;
        const grant = {service, instance, connections};
        this.streams.get(pooler)?.pending.push(grant);
        this.note({...change, service, instance, number: next(pooler)});
      }
    }
  }

  private isHeard(pooler: string): boolean {
    return this.streams.get(pooler)?.isFreed === false;
  }

  private note(change: LargeGrantChange): void {
    const {before, after} = change;
    const isLarge = Math.abs(after - before) * 2 >= Math.max(before, 1);
    if (isLarge && this.noted.length < MOST_NOTED) this.noted.push(change);
  }
}

const NOBODY: ReadonlySet<string> = new Set();

function tendMembers({service, members}: ServiceRoom): void {
  for (const instance of service.members) {
    const member = members.get(instance) ?? new MemberRoom();
    member.setTerms(service.shared, service.poolers);
    members.set(instance, member);
  }
  for (const instance of members.keys()) {
    if (!service.members.includes(instance)) members.delete(instance);
  }
}

function bounded({open, wanted, granted}: ConnectionUse) {
  return {
    open: Math.min(open, MOST_CONNECTIONS),
    wanted: Math.min(wanted, MOST_CONNECTIONS),
    granted: Math.min(granted, MOST_CONNECTIONS),
  };
}

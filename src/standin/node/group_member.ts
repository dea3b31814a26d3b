import type {Clock} from '../../base/common/clock';
import type {IncarnationId} from '../../base/common/ids';
import type {Position} from '../../services/position/common/position';
import type {AnnouncedTarget} from '../../services/announcement/node/announcer';
import {
  Role,
  type Order,
  type OrderResult,
  type TargetStatus,
} from '../../schema/generated/announcement';
import type {ReplicationBatch} from '../../schema/generated/replication';
import {DatabaseError, READ_ONLY} from '../common/database_error';
import {GroupLog, type GroupEntry} from '../common/group_log';
import {TableStore, type RowOperation} from '../common/tables';
import type {Transaction} from '../common/transaction';
import type {Upstream} from './upstream';

/** Who a member is; fixed for its process. */
export interface MemberIdentity {
  readonly service: string;
  readonly instance: string;
  readonly site: string;
  readonly incarnation: IncarnationId;
  /** Where callers connect, as host:port. */
  readonly address: string;
  /** Where replicas attach, as host:port. */
  readonly replicationAddress: string;
}

/** Delays that tests and loads set while the member runs. */
export interface MemberDelays {
  /** Before an entry counts as received. */
  receiveMs: number;
  /** From receiving an entry to applying it. */
  applyMs: number;
}

/** Opens a stream from a primary. */
export interface UpstreamFactory {
  connect(address: string, term: number, member: GroupMember): Upstream;
}

/**
 * One database member: its log, tables, role and term. Replication is
 * asynchronous: a commit is answered before any replica has it.
 */
export class GroupMember implements AnnouncedTarget {
  readonly log = new GroupLog();
  readonly store = new TableStore();
  readonly delays: MemberDelays = {receiveMs: 0, applyMs: 0};
  leaving = false;
  executed = 0;
  committed = 0;
  private term = 0;
  private matchedTerm = 0;
  private logTerm = 0;
  private role = Role.ROLE_REPLICA;
  private applied = 0;
  private upstream: Upstream | undefined;
  private catchUpOffset = 0;
  private waiting: {readonly entry: GroupEntry; readonly dueAt: number}[] = [];
  private readonly listeners = new Set<() => void>();

  constructor(
    readonly identity: MemberIdentity,
    private readonly upstreams: UpstreamFactory,
    private readonly clock: Clock,
  ) {}

  get currentTerm(): number {
    return this.term;
  }

  get isPrimary(): boolean {
    return this.role === Role.ROLE_PRIMARY;
  }

  get appliedOffset(): number {
    return this.applied;
  }

  /** Calls back after each change of what the member would announce. */
  onDidChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  status(): TargetStatus {
    const {service, instance, site, incarnation} = this.identity;
    const {address, replicationAddress} = this.identity;
    return {
      service,
      instance,
      site,
      incarnation,
      address,
      replicationAddress,
      role: this.role,
      term: this.term,
      matchedTerm: this.matchedTerm,
      logTerm: this.logTerm,
      received: this.log.last,
      appliedOffset: this.applied,
      upstreamConnected: this.upstream?.connected ?? false,
      leaving: this.leaving,
    };
  }

  /** Commits a transaction; the position after it. */
  commit(transaction: Transaction): Position {
    if (!this.isPrimary) throw readOnly();
    const operations = transaction.operations();
    const offset = this.log.lastOffset + 1;
    this.log.append({offset, term: this.term, operations});
    this.applyEntry(this.log.after(offset - 1, 1)[0]!);
    this.committed++;
    this.changed();
    return {term: this.term, offset};
  }

  execute(order: Order): OrderResult {
    const refusal = this.act(order);
    this.changed();
    return {
      orderId: order.orderId,
      accepted: refusal === undefined,
      reason: refusal ?? '',
      status: this.status(),
    };
  }

  // ---- Replication, called by the upstream ----

  /** The first batch: drops what the primary does not have. */
  onMatched(keepOffset: number, endOffset: number): void {
    this.waiting = this.waiting.filter(({entry}) => entry.offset <= keepOffset);
    if (keepOffset < this.log.lastOffset) {
      this.log.truncateAfter(keepOffset);
      if (this.applied > keepOffset) this.rebuild(keepOffset);
    }
    this.logTerm = this.term;
    this.catchUpOffset = endOffset;
    this.markMatched();
    this.changed();
  }

  onEntries(batch: ReplicationBatch): void {
    const dueAt = this.clock.now() + this.delays.applyMs;
    for (const {offset, term, operations} of batch.entries) {
      const parsed = JSON.parse(operations) as RowOperation[];
      const entry = {offset, term, operations: parsed};
      this.log.append(entry);
      this.waiting.push({entry, dueAt});
    }
    this.markMatched();
    this.applyDue();
    this.changed();
  }

  onUpstreamChange(): void {
    this.changed();
  }

  /** Applies what has waited long enough. */
  applyDue(): void {
    const now = this.clock.now();
    let changed = false;
    while (this.waiting[0] && this.waiting[0].dueAt <= now) {
      this.applyEntry(this.waiting.shift()!.entry);
      changed = true;
    }
    if (changed) this.changed();
  }

  private act({action}: Order): string | undefined {
    const term = action?.value.term ?? 0;
    if (term < this.term) return `term ${this.term} was promised`;
    switch (action?.$case) {
      case 'fence':
        return this.fence(term);
      case 'promote':
        return this.promote(term);
      case 'follow':
        return this.follow(term, action.value.replicationAddress);
      default:
        return 'unknown order';
    }
  }

  private fence(term: number): string | undefined {
    if (term === this.term) return undefined;
    this.stepDown(term);
    return undefined;
  }

  private promote(term: number): string | undefined {
    if (this.isPrimary && term === this.term) return undefined;
    this.stepDown(term);
    for (const {entry} of this.waiting) this.applyEntry(entry);
    this.waiting = [];
    this.role = Role.ROLE_PRIMARY;
    this.matchedTerm = term;
    this.logTerm = term;
    return undefined;
  }

  private follow(term: number, address: string): string | undefined {
    if (this.isPrimary && term === this.term) return 'leads this term itself';
    this.stepDown(term);
    this.upstream = this.upstreams.connect(address, term, this);
    return undefined;
  }

  private stepDown(term: number): void {
    this.term = term;
    this.role = Role.ROLE_REPLICA;
    this.upstream?.close();
    this.upstream = undefined;
  }

  /**
   * Counts as matched only once all that the primary had at the start is
   * here: a member that lost its data may have confirmed any of it before.
   */
  private markMatched(): void {
    if (this.log.lastOffset >= this.catchUpOffset) this.matchedTerm = this.term;
  }

  private rebuild(offset: number): void {
    this.store.clear();
    this.applied = 0;
    for (const entry of this.log.after(0, offset)) this.applyEntry(entry);
  }

  private applyEntry({offset, operations}: GroupEntry): void {
    this.store.apply(offset, operations);
    this.applied = offset;
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}

export function readOnly(): DatabaseError {
  return new DatabaseError(READ_ONLY, 'this member is not the primary');
}

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
import {GroupLog, type LogEntry} from '../common/group_log';
import {TableStore, type RowOperation} from '../common/tables';
import type {Transaction} from '../common/transaction';
import type {Upstream} from './upstream';

/** Identity and addresses of a member, fixed while its process runs. */
export interface MemberIdentity {
  readonly service: string;
  readonly instance: string;
  readonly site: string;
  readonly incarnation: IncarnationId;
  /** Address for callers, as host:port. */
  readonly address: string;
  /** Address for replicas, as host:port. */
  readonly replicationAddress: string;
}

/** Simulated delays, adjustable while the member runs. */
export interface MemberDelays {
  /** Delay before an entry counts as received. */
  receiveMs: number;
  /** Delay between receiving and applying an entry. */
  applyMs: number;
}

/** Opens replication streams from a primary. */
export interface UpstreamFactory {
  connect(address: string, term: number, member: GroupMember): Upstream;
}

/**
 * A database member with its log, tables, role and term. Replication is
 * asynchronous: a commit returns before any replica has received it.
 */
export class GroupMember implements AnnouncedTarget {
  readonly log = new GroupLog();
  readonly store = new TableStore();
  readonly delays: MemberDelays = {receiveMs: 0, applyMs: 0};
  isLeaving = false;
  executedCount = 0;
  committedCount = 0;
  private term = 0;
  private matchedTerm = 0;
  private logTerm = 0;
  private role = Role.ROLE_REPLICA;
  private lastAppliedOffset = 0;
  private upstream: Upstream | undefined;
  private catchUpOffset = 0;
  private unappliedEntries: {
    readonly entry: LogEntry;
    readonly dueAt: number;
  }[] = [];
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
    return this.lastAppliedOffset;
  }

  /** Notifies a listener of each status change; returns its disposer. */
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
      received: this.log.lastPosition,
      appliedOffset: this.lastAppliedOffset,
      upstreamConnected: this.upstream?.connected ?? false,
      leaving: this.isLeaving,
    };
  }

  /** Commits a transaction and returns its position in the log. */
  commit(transaction: Transaction): Position {
    if (!this.isPrimary) throw readOnlyError();
    const operations = transaction.buildOperations();
    const offset = this.log.lastOffset + 1;
    this.log.append({offset, term: this.term, operations});
    this.applyEntry(this.log.readAfter(offset - 1, 1)[0]!);
    this.committedCount++;
    this.notifyListeners();
    return {term: this.term, offset};
  }

  execute(order: Order): OrderResult {
    const refusal = this.performAction(order);
    this.notifyListeners();
    return {
      orderId: order.orderId,
      accepted: refusal === undefined,
      reason: refusal ?? '',
      status: this.status(),
    };
  }

  // ---- Replication; called by the upstream ----

  /** Truncates the log to what the primary has when the stream starts. */
  onAttached(keepOffset: number, endOffset: number): void {
    this.unappliedEntries = this.unappliedEntries.filter(
      ({entry}) => entry.offset <= keepOffset,
    );
    if (keepOffset < this.log.lastOffset) {
      this.log.truncateAfter(keepOffset);
      if (this.lastAppliedOffset > keepOffset) this.rebuildTables(keepOffset);
    }
    this.logTerm = this.term;
    this.catchUpOffset = endOffset;
    this.updateMatchedTerm();
    this.notifyListeners();
  }

  onEntries(batch: ReplicationBatch): void {
    const dueAt = this.clock.now() + this.delays.applyMs;
    for (const {offset, term, operations} of batch.entries) {
      const parsed = JSON.parse(operations) as RowOperation[];
      const entry = {offset, term, operations: parsed};
      this.log.append(entry);
      this.unappliedEntries.push({entry, dueAt});
    }
    this.updateMatchedTerm();
    this.applyDueEntries();
    this.notifyListeners();
  }

  notifyChange(): void {
    this.notifyListeners();
  }

  /** Applies the entries whose simulated delay has passed. */
  applyDueEntries(): void {
    const now = this.clock.now();
    let hasApplied = false;
    while (this.unappliedEntries[0] && this.unappliedEntries[0].dueAt <= now) {
      this.applyEntry(this.unappliedEntries.shift()!.entry);
      hasApplied = true;
    }
    if (hasApplied) this.notifyListeners();
  }

  private performAction({action}: Order): string | undefined {
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
    for (const {entry} of this.unappliedEntries) this.applyEntry(entry);
    this.unappliedEntries = [];
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
   * Reports the term as matched only after receiving every entry that the
   * primary had when the stream started: a member that lost its data may have
   * confirmed any of these entries before.
   */
  private updateMatchedTerm(): void {
    if (this.log.lastOffset >= this.catchUpOffset) this.matchedTerm = this.term;
  }

  private rebuildTables(offset: number): void {
    this.store.clear();
    this.lastAppliedOffset = 0;
    for (const entry of this.log.readAfter(0, offset)) this.applyEntry(entry);
  }

  private applyEntry({offset, operations}: LogEntry): void {
    this.store.apply(offset, operations);
    this.lastAppliedOffset = offset;
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

/** Creates the error for a write on a member that is not the primary. */
export function readOnlyError(): DatabaseError {
  return new DatabaseError(READ_ONLY, 'this member is not the primary');
}

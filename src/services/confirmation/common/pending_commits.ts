import type {InstanceId} from '../../../base/common/ids';
import type {TargetStatus} from '../../../schema/generated/announcement';
import {Phase, type ServiceRecord} from '../../../schema/generated/control';
import type {TermLease} from '../../lease/common/term_lease';
import {TermHistory} from '../../position/common/term_history';
import type {Position} from '../../position/common/position';
import {ReplicaConfirmations} from './replica_confirmations';

/** Outcome of a commit, as it is reported to the caller. */
export type CommitOutcome =
  /** It is committed and cannot be lost. */
  | 'done'
  /** It is lost: the log of a later term does not have it. */
  | 'not run'
  /** Neither was certain before the deadline. */
  | 'unknown';

interface CommitEntry {
  /** Its position in the term in which it was written. */
  readonly originalPosition: Position;
  /** Its position in the term under which it is to be acknowledged. */
  position: Position;
  state: 'confirming' | 'awaiting lease' | 'between terms' | 'lost';
  readonly deadline: number;
  readonly resolve: (outcome: CommitOutcome, position: Position) => void;
}

/**
 * Commits of one service that are not acknowledged yet. Each needs enough
 * replicas and a lease on its term; if the term ends first, the log of the next
 * term decides whether the commit is done or lost.
 */
export class PendingCommits {
  private readonly confirmations: ReplicaConfirmations;
  private readonly pending = new Set<CommitEntry>();
  private record: ServiceRecord | undefined;

  constructor(
    private readonly lease: TermLease,
    requiredConfirmations: number,
  ) {
    this.confirmations = new ReplicaConfirmations(requiredConfirmations);
  }

  get pendingCount(): number {
    return this.pending.size;
  }

  setRequiredConfirmations(required: number): void {
    this.confirmations.setRequired(required);
  }

  /** Calls `resolve` with the outcome, at the deadline at the latest. */
  add(
    position: Position,
    deadline: number,
    now: number,
    resolve: CommitEntry['resolve'],
  ): void {
    const commit: CommitEntry = {
      originalPosition: position,
      position,
      state: 'confirming',
      deadline,
      resolve,
    };
    this.pending.add(commit);
    if (position.term < (this.record?.term ?? 0)) this.endTerm(commit, now);
    else this.confirm(commit, now);
  }

  onStatus(instance: InstanceId, status: TargetStatus): void {
    this.confirmations.onStatus(instance, status);
  }

  onClosed(instance: InstanceId): void {
    this.confirmations.onClosed(instance);
  }

  /** The service's term or primary changed. */
  onServiceRecord(record: ServiceRecord, now: number): void {
    this.record = record;
    this.confirmations.endTermsBelow(record.term);
    for (const commit of [...this.pending]) {
      if (commit.position.term < record.term) this.endTerm(commit, now);
    }
  }

  /** Acknowledges the commits that waited for the lease. */
  onLeaseExtended(now: number): void {
    for (const commit of [...this.pending]) {
      if (commit.state === 'awaiting lease') this.acknowledge(commit, now);
    }
  }

  onTick(now: number): void {
    for (const commit of [...this.pending]) {
      if (commit.deadline <= now) this.resolve(commit, 'unknown');
    }
  }

  /** How long the oldest commit has been waiting for replicas, in ms. */
  unconfirmedMs(now: number): number {
    return this.confirmations.oldestWaitMs(now);
  }

  private confirm(commit: CommitEntry, now: number): void {
    commit.state = 'confirming';
    this.confirmations.waitFor(commit.position, now, outcome => {
      if (outcome !== 'confirmed' || !this.pending.has(commit)) return;
      commit.state = 'awaiting lease';
      this.acknowledge(commit, this.lease.now());
    });
  }

  private acknowledge(commit: CommitEntry, now: number): void {
    if (!this.lease.acknowledge(commit.position, now)) return;
    this.resolve(commit, 'done');
  }

  private endTerm(commit: CommitEntry, now: number): void {
    const {record} = this;
    commit.state = 'between terms';
    if (!record || record.phase !== Phase.PHASE_STEADY) return;
    const {term, termStarts} = record;
    const history = new TermHistory(term, termStarts);
    commit.position = {term, offset: commit.originalPosition.offset};
    if (history.contains(commit.originalPosition)) this.confirm(commit, now);
    else this.confirmLoss(commit, record, now);
  }

  /**
   * Guard: a write that was reported as "not run" must not reappear. If only
   * the new primary had the new term's log, its loss could restore an older log
   * with the write. Enough matched replicas rule that out.
   */
  private confirmLoss(
    commit: CommitEntry,
    {term, termStarts}: ServiceRecord,
    now: number,
  ): void {
    commit.state = 'lost';
    const offset = termStarts.at(-1)?.baseOffset ?? 0;
    this.confirmations.waitFor({term, offset}, now, outcome => {
      if (outcome === 'confirmed') this.resolve(commit, 'not run');
    });
  }

  private resolve(commit: CommitEntry, outcome: CommitOutcome): void {
    if (!this.pending.delete(commit)) return;
    commit.resolve(outcome, commit.position);
  }
}

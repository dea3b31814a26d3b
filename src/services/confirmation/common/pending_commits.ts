import type {InstanceId} from '../../../base/common/ids';
import type {TargetStatus} from '../../../schema/generated/announcement';
import {Phase, type ServiceRecord} from '../../../schema/generated/control';
import type {TermLease} from '../../lease/common/term_lease';
import {TermHistory} from '../../position/common/term_history';
import type {Position} from '../../position/common/position';
import {ReplicaConfirmations} from './replica_confirmations';

/** What a commit came to, as a caller may be told. */
export type CommitOutcome =
  /** It is done and will stay so. */
  | 'done'
  /** It is gone: the log of a later term does not have it. */
  | 'not run'
  /** Neither was known before the deadline. */
  | 'unknown';

interface CommitEntry {
  /** Where it was made. */
  readonly made: Position;
  /** In the term under which it will be acknowledged. */
  position: Position;
  state: 'confirming' | 'awaiting lease' | 'between terms' | 'lost';
  readonly deadline: number;
  readonly settle: (outcome: CommitOutcome, position: Position) => void;
}

/**
 * Commits of one service on the way to their acknowledgement: each needs
 * enough replicas and a lease on its term. Where the term ends first, the log
 * of the next one tells whether the commit is done or never was.
 */
export class PendingCommits {
  private readonly confirmations: ReplicaConfirmations;
  private readonly pending = new Set<CommitEntry>();
  private record: ServiceRecord | undefined;

  constructor(
    private readonly lease: TermLease,
    confirmationsNeeded: number,
  ) {
    this.confirmations = new ReplicaConfirmations(confirmationsNeeded);
  }

  get pendingCount(): number {
    return this.pending.size;
  }

  setRequiredConfirmations(needed: number): void {
    this.confirmations.setRequired(needed);
  }

  /** Settles once the commit may be acknowledged, or cannot be. */
  add(
    position: Position,
    deadline: number,
    now: number,
    settle: CommitEntry['settle'],
  ): void {
    const commit: CommitEntry = {
      made: position,
      position,
      state: 'confirming',
      deadline,
      settle,
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

  /** The lease was extended. */
  onLeaseExtended(now: number): void {
    for (const commit of [...this.pending]) {
      if (commit.state === 'awaiting lease') this.acknowledge(commit, now);
    }
  }

  onTick(now: number): void {
    for (const commit of [...this.pending]) {
      if (commit.deadline <= now) this.settle(commit, 'unknown');
    }
  }

  /** How long the oldest commit has waited for replicas, in milliseconds. */
  unconfirmedMs(now: number): number {
    return this.confirmations.oldestWaitMs(now);
  }

  private confirm(commit: CommitEntry, now: number): void {
    commit.state = 'confirming';
    this.confirmations.wait(commit.position, now, outcome => {
      if (outcome !== 'confirmed' || !this.pending.has(commit)) return;
      commit.state = 'awaiting lease';
      this.acknowledge(commit, this.lease.now());
    });
  }

  private acknowledge(commit: CommitEntry, now: number): void {
    if (!this.lease.acknowledge(commit.position, now)) return;
    this.settle(commit, 'done');
  }

  private endTerm(commit: CommitEntry, now: number): void {
    const {record} = this;
    commit.state = 'between terms';
    if (!record || record.phase !== Phase.PHASE_STEADY) return;
    const {term, termStarts} = record;
    const lineage = new TermHistory(term, termStarts);
    commit.position = {term, offset: commit.made.offset};
    if (lineage.contains(commit.made)) this.confirm(commit, now);
    else this.confirmLoss(commit, record, now);
  }

  /**
   * Guard against calling a write "not run" that comes back: while only the
   * new primary has the new term's log, its loss could bring an older log with
   * the write back. Once enough replicas are matched with it, no later term
   * can go on with an older log.
   */
  private confirmLoss(
    commit: CommitEntry,
    {term, termStarts}: ServiceRecord,
    now: number,
  ): void {
    commit.state = 'lost';
    const offset = termStarts.at(-1)?.baseOffset ?? 0;
    this.confirmations.wait({term, offset}, now, outcome => {
      if (outcome === 'confirmed') this.settle(commit, 'not run');
    });
  }

  private settle(commit: CommitEntry, outcome: CommitOutcome): void {
    if (!this.pending.delete(commit)) return;
    commit.settle(outcome, commit.position);
  }
}

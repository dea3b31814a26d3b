import type {InstanceId} from '../../../base/common/ids';
import type {
  Position,
  TargetStatus,
} from '../../../schema/generated/announcement';

/** What became of a commit that waited for replicas. */
export type ConfirmationOutcome =
  /** Enough replicas hold it. */
  | 'confirmed'
  /** The term ended first: whether it survives is not known yet. */
  | 'term ended';

type Settle = (outcome: ConfirmationOutcome) => void;

interface Waiter {
  readonly position: Position;
  readonly since: number;
  readonly settle: Settle;
}

/**
 * Commits of one service that wait until replicas hold them.
 *
 * Guard against losing an acknowledged write with its primary: replication is
 * asynchronous, so the answer is held until a replica of the same term has the
 * commit. A promotion meets that replica.
 */
export class ReplicaConfirmations {
  private waiters: Waiter[] = [];
  private readonly held = new Map<InstanceId, Position>();

  constructor(private needed: number) {}

  setRequired(needed: number): void {
    this.needed = needed;
    this.settleDue();
  }

  /** Calls back once enough replicas hold a position. */
  wait(position: Position, now: number, settle: Settle): void {
    if (this.isHeld(position)) return settle('confirmed');
    this.waiters.push({position, since: now, settle});
  }

  /** Takes in what a replica says that it holds. */
  onStatus(instance: InstanceId, status: TargetStatus): void {
    const {matchedTerm, term, received, upstreamConnected} = status;
    // A replica whose log was not matched with this term's primary may hold
    // other writes at the same offsets.
    if (matchedTerm !== term || !received || !upstreamConnected) return;
    this.held.set(instance, {term, offset: received.offset});
    this.settleDue();
  }

  /** A replica is gone: what it held may be gone with it. */
  onClosed(instance: InstanceId): void {
    this.held.delete(instance);
  }

  /** Every commit of a term below this one is given back unsettled. */
  endTermsBelow(term: number): void {
    const ended = this.waiters.filter(waiter => waiter.position.term < term);
    this.waiters = this.waiters.filter(waiter => waiter.position.term >= term);
    for (const {settle} of ended) settle('term ended');
  }

  /** How long the oldest commit has waited, in milliseconds. */
  oldestWaitMs(now: number): number {
    const [oldest] = this.waiters;
    return oldest ? now - oldest.since : 0;
  }

  private settleDue(): void {
    const due = this.waiters.filter(({position}) => this.isHeld(position));
    if (due.length === 0) return;
    this.waiters = this.waiters.filter(waiter => !due.includes(waiter));
    for (const {settle} of due) settle('confirmed');
  }

  private isHeld({term, offset}: Position): boolean {
    let count = 0;
    for (const held of this.held.values()) {
      if (held.term === term && held.offset >= offset) count++;
    }
    return count >= this.needed;
  }
}

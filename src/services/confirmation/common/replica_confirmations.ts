import type {InstanceId} from '../../../base/common/ids';
import type {
  Position,
  TargetStatus,
} from '../../../schema/generated/announcement';

/** Outcome of waiting for replicas to receive a commit. */
export type ConfirmationOutcome =
  /** Enough replicas have received it. */
  | 'confirmed'
  /** The term ended first, so it is unknown whether the commit survives. */
  | 'term ended';

type Callback = (outcome: ConfirmationOutcome) => void;

interface Waiter {
  readonly position: Position;
  readonly startedAt: number;
  readonly resolve: Callback;
}

/**
 * Commits of one service that wait until replicas have received them.
 *
 * Guard: no acknowledged write may be lost with its primary. Replication is
 * asynchronous, so the reply waits for replicas of the same term, one of which
 * takes part in any promotion.
 */
export class ReplicaConfirmations {
  private waiters: Waiter[] = [];
  private readonly positions = new Map<InstanceId, Position>();

  constructor(private required: number) {}

  setRequired(required: number): void {
    this.required = required;
    this.resolveConfirmed();
  }

  /** Calls back once enough replicas have received a position. */
  waitFor(position: Position, now: number, resolve: Callback): void {
    if (this.isConfirmed(position)) return resolve('confirmed');
    this.waiters.push({position, startedAt: now, resolve});
  }

  /** Records the position that a replica reports. */
  onStatus(instance: InstanceId, status: TargetStatus): void {
    const {matchedTerm, term, received, upstreamConnected} = status;
    // A replica whose log was not matched with the primary of this term may
    // have other writes at the same offsets.
    if (matchedTerm !== term || !received || !upstreamConnected) return;
    this.positions.set(instance, {term, offset: received.offset});
    this.resolveConfirmed();
  }

  /** Removes a replica, which may have lost its data. */
  onClosed(instance: InstanceId): void {
    this.positions.delete(instance);
  }

  /** Ends the wait of all commits of lower terms. */
  endTermsBelow(term: number): void {
    const ended = this.waiters.filter(waiter => waiter.position.term < term);
    this.waiters = this.waiters.filter(waiter => waiter.position.term >= term);
    for (const {resolve} of ended) resolve('term ended');
  }

  oldestWaitMs(now: number): number {
    const [oldest] = this.waiters;
    return oldest ? now - oldest.startedAt : 0;
  }

  private resolveConfirmed(): void {
    const confirmed = this.waiters.filter(({position}) =>
      this.isConfirmed(position),
    );
    if (confirmed.length === 0) return;
    this.waiters = this.waiters.filter(waiter => !confirmed.includes(waiter));
    for (const {resolve} of confirmed) resolve('confirmed');
  }

  private isConfirmed({term, offset}: Position): boolean {
    let count = 0;
    for (const position of this.positions.values()) {
      if (position.term === term && position.offset >= offset) count++;
    }
    return count >= this.required;
  }
}

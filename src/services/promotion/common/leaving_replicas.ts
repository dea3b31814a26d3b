import {comparePositions, type Position} from '../../position/common/position';

/** The logs of a service from which members are going to leave. */
export interface LeavingGroup {
  /** Number of the primary's assignment; a promotion resumes all replicas. */
  readonly epoch: number;
  /** How many replicas receive a commit before it is acknowledged. */
  readonly confirmations: number;
  /** End of the primary's log; undefined if it did not reply. */
  readonly primaryEnd: Position | undefined;
  /** Ends of the logs of replicas that stay; undefined for silent ones. */
  readonly staying: readonly (Position | undefined)[];
  /** Keys of the incarnations of replicas that are draining. */
  readonly leaving: readonly string[];
}

/** Replicas to stop, and stopped ones that must receive again. */
export interface LeavingPlan {
  readonly stop: readonly string[];
  readonly resume: readonly string[];
}

interface StoppedLog {
  readonly epoch: number;
  readonly end: Position;
}

/**
 * Stops the logs of replicas that are going to leave, while another replica
 * confirms commits.
 *
 * Guard: a leaving replica confirms commits until it is gone. If the primary is
 * lost at the same time, no remaining log proves that it has all of them.
 */
export class LeavingReplicas {
  private readonly stopped = new Map<string, StoppedLog>();
  private previousEnd: Position | undefined;
  private epoch = 0;

  /** Decides by the logs at two moments whether another replica receives. */
  plan(group: LeavingGroup): LeavingPlan {
    const {epoch, leaving} = group;
    if (epoch !== this.epoch) this.reset(epoch);
    for (const replica of this.stopped.keys()) {
      if (!leaving.includes(replica)) this.stopped.delete(replica);
    }
    // Guard: to resume them would lose the ends of their logs, which a promotion
    // needs if the primary is lost.
    if (!group.primaryEnd) return {stop: [], resume: []};
    const isConfirmed = this.isConfirmedByOthers(group, group.primaryEnd);
    this.previousEnd = group.primaryEnd;
    if (!isConfirmed) return {stop: [], resume: this.resumeAll()};
    const stop = leaving.filter(replica => !this.stopped.has(replica));
    return {stop, resume: []};
  }

  private isConfirmedByOthers(
    {confirmations, staying}: LeavingGroup,
    primaryEnd: Position,
  ): boolean {
    const target = this.previousEnd ?? primaryEnd;
    const current = staying.filter(end => {
      return end && comparePositions(end, target) >= 0;
    });
    return current.length >= Math.max(1, confirmations);
  }

  /** A replica was stopped; its log ends there. */
  onDidStop(replica: string, end: Position): void {
    this.stopped.set(replica, {epoch: this.epoch, end});
  }

  /** The end of the log of a stopped replica. */
  endOf(replica: string, epoch: number): Position | undefined {
    const log = this.stopped.get(replica);
    return log?.epoch === epoch ? log.end : undefined;
  }

  private reset(epoch: number): void {
    this.epoch = epoch;
    this.stopped.clear();
    this.previousEnd = undefined;
  }

  private resumeAll(): string[] {
    const resumed = [...this.stopped.keys()];
    this.stopped.clear();
    return resumed;
  }
}

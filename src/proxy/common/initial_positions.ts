import type {InstanceId} from '../../base/common/ids';
import {
  comparePositions,
  heldPosition,
  logEnd,
  type Position,
} from '../../services/position/common/position';
import type {TargetStatus} from '../../schema/generated/announcement';

/** The status of a target in reply to a request. */
interface PositionReply {
  readonly requestedAt: number;
  readonly status: TargetStatus;
}

/**
 * The minimum position of a new session that did not pass one.
 *
 * Guard: a session that moves here from another proxy sees its own writes.
 * Every write acknowledged before it connected is covered by a later status of
 * the leased primary, or by the newest of later statuses of a read quorum.
 */
export class InitialPositions {
  private primary: PositionReply | undefined;
  private readonly members = new Map<InstanceId, PositionReply>();

  /** Records a status of the primary, requested while its lease was held. */
  onPrimary(requestedAt: number, status: TargetStatus): void {
    this.primary = {requestedAt, status};
  }

  /** Records a status of a member that has the service's data. */
  onMember(
    instance: InstanceId,
    requestedAt: number,
    status: TargetStatus,
  ): void {
    this.members.set(instance, {requestedAt, status});
  }

  onClosed(instance: InstanceId): void {
    this.members.delete(instance);
  }

  /** What a session must see that connected then; undefined if unknown. */
  minPosition(connectedAt: number, readQuorum: number): Position | undefined {
    if (this.primary && this.primary.requestedAt >= connectedAt) {
      return logEnd(this.primary.status);
    }
    const replies = [...this.members.values()].filter(({requestedAt}) => {
      return requestedAt >= connectedAt;
    });
    const [first, ...rest] = replies.map(({status}) => status);
    if (!first || replies.length < readQuorum) return undefined;
    return logEnd(rest.reduce(newerLog, first));
  }
}

function newerLog(a: TargetStatus, b: TargetStatus): TargetStatus {
  const order = comparePositions(heldPosition(b), heldPosition(a));
  return order > 0 ? b : a;
}

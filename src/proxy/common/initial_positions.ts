import type {InstanceId} from '../../base/common/ids';
import {
  comparePositions,
  heldPosition,
  logEnd,
  type Position,
} from '../../services/position/common/position';
import type {TargetStatus} from '../../schema/generated/announcement';

interface Answer {
  readonly askedAt: number;
  readonly status: TargetStatus;
}

/**
 * The position that a session must see that brought none along.
 *
 * Guard against a session that moved between proxies and does not see its own
 * writes: it is held to what the group held when it arrived. All that was
 * acknowledged before is at or below what the primary says after the arrival,
 * while this proxy's lease proves that it is still the primary; or at or below
 * the newest that enough members say, whoever is primary.
 */
export class ArrivalPositions {
  private primary: Answer | undefined;
  private readonly members = new Map<InstanceId, Answer>();

  /** A primary under a lease answered with its position. */
  onPrimary(askedAt: number, status: TargetStatus): void {
    this.primary = {askedAt, status};
  }

  /** Any member with its data answered with what it holds. */
  onMember(instance: InstanceId, askedAt: number, status: TargetStatus): void {
    this.members.set(instance, {askedAt, status});
  }

  onClosed(instance: InstanceId): void {
    this.members.delete(instance);
  }

  /** What a session that arrived then must see; undefined while unknown. */
  since(arrivedAt: number, membersNeeded: number): Position | undefined {
    if (this.primary && this.primary.askedAt >= arrivedAt) {
      return logEnd(this.primary.status);
    }
    const answers = [...this.members.values()].filter(({askedAt}) => {
      return askedAt >= arrivedAt;
    });
    const [first, ...others] = answers.map(({status}) => status);
    if (!first || answers.length < membersNeeded) return undefined;
    return logEnd(others.reduce(newer, first));
  }
}

function newer(a: TargetStatus, b: TargetStatus): TargetStatus {
  const order = comparePositions(heldPosition(b), heldPosition(a));
  return order > 0 ? b : a;
}

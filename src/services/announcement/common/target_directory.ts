import type {InstanceId, ServiceName} from '../../../base/common/ids';
import type {TargetStatus} from '../../../schema/generated/announcement';

/** A target counts as disconnected this long after its stream closed. */
export const CLOSED_GRACE_MS = 40;
const MAX_PENDING_PINGS = 64;

/** Identifies one member of one service. */
export interface TargetKey {
  readonly service: ServiceName;
  readonly instance: InstanceId;
}

/** A status that a target had at or after a moment. */
export interface PositionSample {
  /** When the ping was sent, on the observer's clock. */
  readonly requestedAt: number;
  readonly status: TargetStatus;
}

/** State of one target, as an observer sees it. */
export interface TargetObservation {
  readonly key: TargetKey;
  readonly status: TargetStatus;
  readonly lastHeardAt: number;
  readonly closedAt: number | undefined;
  readonly upstreamLostAt: number | undefined;
  readonly roundTripMs: number;
}

interface MutableObservation {
  key: TargetKey;
  status: TargetStatus;
  lastHeardAt: number;
  closedAt: number | undefined;
  upstreamLostAt: number | undefined;
  roundTripMs: number;
  pings: Map<number, number>;
}

/** State of all targets that announced themselves to an observer. */
export class TargetDirectory {
  private readonly byService = new Map<
    ServiceName,
    Map<InstanceId, MutableObservation>
  >();

  /** All members of a service that ever announced themselves. */
  targetsOf(service: ServiceName): readonly TargetObservation[] {
    return [...(this.byService.get(service)?.values() ?? [])];
  }

  get(key: TargetKey): TargetObservation | undefined {
    return this.byService.get(key.service)?.get(key.instance);
  }

  all(): readonly TargetObservation[] {
    return [...this.byService.values()].flatMap(members => {
      return [...members.values()];
    });
  }

  onStatus(key: TargetKey, status: TargetStatus, now: number): void {
    const target = this.find(key) ?? this.add(key, status, now);
    target.status = status;
    target.lastHeardAt = now;
    target.closedAt = undefined;
    if (status.upstreamConnected) target.upstreamLostAt = undefined;
    else target.upstreamLostAt ??= now;
  }

  onPing(key: TargetKey, sequence: number, now: number): void {
    const pings = this.find(key)?.pings;
    if (!pings) return;
    pings.set(sequence, now);
    if (pings.size <= MAX_PENDING_PINGS) return;
    pings.delete(pings.keys().next().value!);
  }

  /** Records the reply to a ping; undefined if the ping is not pending. */
  onPong(
    key: TargetKey,
    sequence: number,
    now: number,
  ): PositionSample | undefined {
    const target = this.find(key);
    const requestedAt = target?.pings.get(sequence);
    if (!target || requestedAt === undefined) return undefined;
    target.pings.delete(sequence);
    target.lastHeardAt = now;
    target.roundTripMs = now - requestedAt;
    return {requestedAt, status: target.status};
  }

  onClosed(key: TargetKey, now: number): void {
    const target = this.find(key);
    if (!target) return;
    target.closedAt ??= now;
    target.pings.clear();
  }

  private find(key: TargetKey): MutableObservation | undefined {
    return this.byService.get(key.service)?.get(key.instance);
  }

  private add(
    key: TargetKey,
    status: TargetStatus,
    now: number,
  ): MutableObservation {
    const target: MutableObservation = {
      key,
      status,
      lastHeardAt: now,
      closedAt: undefined,
      upstreamLostAt: undefined,
      roundTripMs: 0,
      pings: new Map(),
    };
    const members = this.byService.get(key.service) ?? new Map();
    members.set(key.instance, target);
    this.byService.set(key.service, members);
    return target;
  }
}

/** Whether the stream of a target is open, or closed within the grace time. */
export function isConnected(target: TargetObservation, now: number): boolean {
  const {closedAt} = target;
  return closedAt === undefined || now - closedAt < CLOSED_GRACE_MS;
}

/** Time since the last message of a target, in milliseconds. */
export function silenceMsOf(target: TargetObservation, now: number): number {
  return Math.max(0, now - target.lastHeardAt);
}

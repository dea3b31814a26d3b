import type {InstanceId, ServiceName} from '../../../base/common/ids';
import type {TargetStatus} from '../../../schema/generated/announcement';

/** A closed stream counts as a loss after this time, in milliseconds. */
export const CLOSED_GRACE_MS = 40;
/** Pings that are remembered while their answers are under way. */
const MOST_OPEN_PINGS = 64;

/** Names one member of one group. */
export interface TargetKey {
  readonly service: ServiceName;
  readonly instance: InstanceId;
}

/** What a target was known to hold at or after a time. */
export interface PositionSample {
  /** When it was asked, on the observer's clock. */
  readonly askedAt: number;
  readonly status: TargetStatus;
}

/** What one observer knows of one target. */
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

/** What an observer knows of all targets that announced themselves. */
export class TargetDirectory {
  private readonly byService = new Map<
    ServiceName,
    Map<InstanceId, MutableObservation>
  >();

  /** All members of a service that were ever heard of. */
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
    if (pings.size <= MOST_OPEN_PINGS) return;
    pings.delete(pings.keys().next().value!);
  }

  /** The sample that an answered ping gives. */
  onPong(
    key: TargetKey,
    sequence: number,
    now: number,
  ): PositionSample | undefined {
    const target = this.find(key);
    const askedAt = target?.pings.get(sequence);
    if (!target || askedAt === undefined) return undefined;
    target.pings.delete(sequence);
    target.lastHeardAt = now;
    target.roundTripMs = now - askedAt;
    return {askedAt, status: target.status};
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

/** Whether a stream from the target is open, or was until just now. */
export function isConnected(target: TargetObservation, now: number): boolean {
  const {closedAt} = target;
  return closedAt === undefined || now - closedAt < CLOSED_GRACE_MS;
}

/** How long a target has given no sign of life, in milliseconds. */
export function silenceMsOf(target: TargetObservation, now: number): number {
  return Math.max(0, now - target.lastHeardAt);
}

import type {InstanceId, SiteId} from '../../../base/common/ids';

/** Which members may serve a read. */
export interface ReadRequirement {
  /** The maximum age of data that its class accepts; 0 for the primary only. */
  readonly maxAgeMs: number;
  /** The offset that its session must see; undefined while unknown. */
  readonly minOffset: number | undefined;
  /** Whether stale data with a notice are better than none. */
  readonly allowsOlder: boolean;
  readonly waitedMs: number;
}

/** The state of a member that may serve a read. */
export interface ReadCandidate {
  readonly instance: InstanceId;
  readonly isPrimary: boolean;
  /** Whether it is connected, and not leaving, drained or ejected. */
  readonly isUsable: boolean;
  readonly appliedOffset: number;
  readonly ageMs: number;
  /** Idle connections, on which a transaction can start at once. */
  readonly freeCount: number;
  readonly runningCount: number;
  /** One-way latency from this proxy. */
  readonly latencyMs: number;
  /** How far it usually lags behind the primary. */
  readonly lagMs: number;
}

/** The member for a read, or why the read has to wait. */
export type RouteDecision =
  | {
      readonly kind: 'go';
      readonly instance: InstanceId;
      readonly reason: RouteReason;
    }
  | {readonly kind: 'wait'; readonly reason: WaitReason};

export type RouteReason =
  | 'replica within age'
  | 'primary: the class accepts no age'
  | 'primary: replicas too far behind'
  | 'primary: replicas busy'
  | 'older replica with notice';

export type WaitReason =
  | 'position at arrival unknown'
  | 'replica busy'
  | 'replica about to catch up'
  | 'primary busy'
  | 'no primary';

/** How long a read waits for a busy replica before it may use the primary. */
const BUSY_REPLICA_WAIT_MS = 25;
/** Connections of the primary that are not used for reads of replicas. */
const RESERVED_CONNECTION_COUNT = 1;
/** How long a read waits for a replica to catch up, and its maximum lag. */
const MAX_CATCH_UP_MS = 15;
/** How long a read waits for a primary before it may return stale data. */
const STALE_DATA_WAIT_MS = 100;

/** Chooses the member for a read; deterministic. */
export function routeRead(
  requirement: ReadRequirement,
  candidates: readonly ReadCandidate[],
): RouteDecision {
  const primary = candidates.find(
    ({isPrimary, isUsable}) => isPrimary && isUsable,
  );
  if (requirement.maxAgeMs === 0) {
    return usePrimary(primary, 'primary: the class accepts no age');
  }
  const replicas = candidates.filter(candidate => {
    return candidate.isUsable && !candidate.isPrimary;
  });
  const {minOffset} = requirement;
  if (minOffset === undefined) {
    return {kind: 'wait', reason: 'position at arrival unknown'};
  }
  const sufficient = replicas.filter(({appliedOffset}) => {
    return appliedOffset >= minOffset;
  });
  const fresh = sufficient.filter(({ageMs}) => ageMs <= requirement.maxAgeMs);
  if (fresh.length > 0) return routeAmongFresh(requirement, fresh, primary);
  return routeWithoutFresh(requirement, replicas, sufficient, primary);
}

function routeAmongFresh(
  requirement: ReadRequirement,
  fresh: readonly ReadCandidate[],
  primary: ReadCandidate | undefined,
): RouteDecision {
  const free = fresh.filter(candidate => candidate.freeCount > 0);
  const [best] = [...free].sort(compareByLatency);
  if (best) return makeRoute(best, 'replica within age');
  const hasSpare =
    primary !== undefined && primary.freeCount > RESERVED_CONNECTION_COUNT;
  if (hasSpare && requirement.waitedMs >= BUSY_REPLICA_WAIT_MS) {
    return makeRoute(primary, 'primary: replicas busy');
  }
  return {kind: 'wait', reason: 'replica busy'};
}

function routeWithoutFresh(
  requirement: ReadRequirement,
  replicas: readonly ReadCandidate[],
  sufficient: readonly ReadCandidate[],
  primary: ReadCandidate | undefined,
): RouteDecision {
  const maxWaitMs = Math.min(MAX_CATCH_UP_MS, requirement.maxAgeMs);
  const willCatchUp = replicas.some(({lagMs}) => lagMs <= maxWaitMs);
  if (willCatchUp && requirement.waitedMs < maxWaitMs) {
    return {kind: 'wait', reason: 'replica about to catch up'};
  }
  if (primary) return usePrimary(primary, 'primary: replicas too far behind');
  if (requirement.allowsOlder && requirement.waitedMs >= STALE_DATA_WAIT_MS) {
    const free = sufficient.filter(candidate => candidate.freeCount > 0);
    const [newest] = [...free].sort((a, b) => a.ageMs - b.ageMs);
    if (newest) return makeRoute(newest, 'older replica with notice');
  }
  return {kind: 'wait', reason: 'no primary'};
}

function usePrimary(
  primary: ReadCandidate | undefined,
  reason: RouteReason,
): RouteDecision {
  if (!primary) return {kind: 'wait', reason: 'no primary'};
  if (primary.freeCount > 0) return makeRoute(primary, reason);
  return {kind: 'wait', reason: 'primary busy'};
}

function makeRoute(
  {instance}: ReadCandidate,
  reason: RouteReason,
): RouteDecision {
  return {kind: 'go', instance, reason};
}

/** Orders by latency, then by load, then by name. */
function compareByLatency(a: ReadCandidate, b: ReadCandidate): number {
  return (
    a.latencyMs - b.latencyMs ||
    a.runningCount - b.runningCount ||
    (a.instance < b.instance ? -1 : 1)
  );
}

/** Returns the one-way latency between two sites from the settings. */
export type SiteLatency = (from: SiteId, to: SiteId) => number;

import type {InstanceId, SiteId} from '../../../base/common/ids';

/** What a read needs. */
export interface ReadRequirement {
  /** The age that its class accepts, 0 for the primary only. */
  readonly maxAgeMs: number;
  /** The offset that its session must see; undefined while unknown. */
  readonly minOffset: number | undefined;
  /** Rather older figures with a notice than none. */
  readonly allowsOlder: boolean;
  readonly waitedMs: number;
}

/** What is known of a member that could serve a read. */
export interface ReadCandidate {
  readonly instance: InstanceId;
  readonly isPrimary: boolean;
  /** It may take work: connected, not leaving, not drained, not ejected. */
  readonly isUsable: boolean;
  readonly appliedOffset: number;
  readonly ageMs: number;
  /** Connections that could start a transaction now. */
  readonly freeCount: number;
  readonly runningCount: number;
  /** One-way latency from this proxy, in milliseconds. */
  readonly latencyMs: number;
  /** How long its applying usually lags, in milliseconds. */
  readonly lagMs: number;
}

/** Where a read goes. */
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

/** A busy replica is waited for this long before the primary helps out. */
const BUSY_PATIENCE_MS = 25;
/** The primary helps only while it has this many connections left free. */
const PRIMARY_RESERVE = 1;
/** A replica that lags no more than this is waited for, at most so long. */
const CATCH_UP_PATIENCE_MS = 15;
/** After this long without a primary older figures may be given. */
const OLDER_PATIENCE_MS = 100;

/** Decides where a read goes; the same inputs give the same answer. */
export function routeRead(
  demand: ReadRequirement,
  candidates: readonly ReadCandidate[],
): RouteDecision {
  const primary = candidates.find(
    ({isPrimary, isUsable}) => isPrimary && isUsable,
  );
  if (demand.maxAgeMs === 0) {
    return toPrimary(primary, 'primary: the class accepts no age');
  }
  const replicas = candidates.filter(candidate => {
    return candidate.isUsable && !candidate.isPrimary;
  });
  const {minOffset} = demand;
  if (minOffset === undefined) {
    return {kind: 'wait', reason: 'position at arrival unknown'};
  }
  const current = replicas.filter(({appliedOffset}) => {
    return appliedOffset >= minOffset;
  });
  const fresh = current.filter(({ageMs}) => ageMs <= demand.maxAgeMs);
  if (fresh.length > 0) return amongFresh(demand, fresh, primary);
  return withoutFresh(demand, replicas, current, primary);
}

function amongFresh(
  demand: ReadRequirement,
  fresh: readonly ReadCandidate[],
  primary: ReadCandidate | undefined,
): RouteDecision {
  const free = fresh.filter(candidate => candidate.freeCount > 0);
  const [best] = [...free].sort(byNearness);
  if (best) return go(best, 'replica within age');
  const spare = primary !== undefined && primary.freeCount > PRIMARY_RESERVE;
  if (spare && demand.waitedMs >= BUSY_PATIENCE_MS) {
    return go(primary, 'primary: replicas busy');
  }
  return {kind: 'wait', reason: 'replica busy'};
}

function withoutFresh(
  demand: ReadRequirement,
  replicas: readonly ReadCandidate[],
  current: readonly ReadCandidate[],
  primary: ReadCandidate | undefined,
): RouteDecision {
  const patience = Math.min(CATCH_UP_PATIENCE_MS, demand.maxAgeMs);
  const soon = replicas.some(({lagMs}) => lagMs <= patience);
  if (soon && demand.waitedMs < patience) {
    return {kind: 'wait', reason: 'replica about to catch up'};
  }
  if (primary) return toPrimary(primary, 'primary: replicas too far behind');
  if (demand.allowsOlder && demand.waitedMs >= OLDER_PATIENCE_MS) {
    const free = current.filter(candidate => candidate.freeCount > 0);
    const [newest] = [...free].sort((a, b) => a.ageMs - b.ageMs);
    if (newest) return go(newest, 'older replica with notice');
  }
  return {kind: 'wait', reason: 'no primary'};
}

function toPrimary(
  primary: ReadCandidate | undefined,
  reason: RouteReason,
): RouteDecision {
  if (!primary) return {kind: 'wait', reason: 'no primary'};
  if (primary.freeCount > 0) return go(primary, reason);
  return {kind: 'wait', reason: 'primary busy'};
}

function go({instance}: ReadCandidate, reason: RouteReason): RouteDecision {
  return {kind: 'go', instance, reason};
}

/** Nearest first, then the one with the least to do. */
function byNearness(a: ReadCandidate, b: ReadCandidate): number {
  return (
    a.latencyMs - b.latencyMs ||
    a.runningCount - b.runningCount ||
    (a.instance < b.instance ? -1 : 1)
  );
}

/** The latency between two sites, as settings give it. */
export type SiteLatency = (from: SiteId, to: SiteId) => number;

import type {InstanceId, SiteId} from '../../../base/common/ids';

/** What a read needs. */
export interface ReadDemand {
  /** The age that its class accepts, 0 for the primary only. */
  readonly ageMs: number;
  /** The offset that its session must see; undefined while unknown. */
  readonly requiredOffset: number | undefined;
  /** Rather older figures with a notice than none. */
  readonly olderWithNotice: boolean;
  readonly waitedMs: number;
}

/** What is known of a member that could serve a read. */
export interface Candidate {
  readonly instance: InstanceId;
  readonly isPrimary: boolean;
  /** It may take work: connected, not leaving, not drained, not ejected. */
  readonly usable: boolean;
  readonly appliedOffset: number;
  readonly ageMs: number;
  /** Connections that could start a transaction now. */
  readonly free: number;
  readonly running: number;
  /** One-way latency from this proxy, in milliseconds. */
  readonly distanceMs: number;
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
  demand: ReadDemand,
  candidates: readonly Candidate[],
): RouteDecision {
  const primary = candidates.find(({isPrimary, usable}) => isPrimary && usable);
  if (demand.ageMs === 0) {
    return toPrimary(primary, 'primary: the class accepts no age');
  }
  const replicas = candidates.filter(candidate => {
    return candidate.usable && !candidate.isPrimary;
  });
  const {requiredOffset} = demand;
  if (requiredOffset === undefined) {
    return {kind: 'wait', reason: 'position at arrival unknown'};
  }
  const current = replicas.filter(({appliedOffset}) => {
    return appliedOffset >= requiredOffset;
  });
  const fresh = current.filter(({ageMs}) => ageMs <= demand.ageMs);
  if (fresh.length > 0) return amongFresh(demand, fresh, primary);
  return withoutFresh(demand, replicas, current, primary);
}

function amongFresh(
  demand: ReadDemand,
  fresh: readonly Candidate[],
  primary: Candidate | undefined,
): RouteDecision {
  const free = fresh.filter(candidate => candidate.free > 0);
  const [best] = [...free].sort(byNearness);
  if (best) return go(best, 'replica within age');
  const spare = primary !== undefined && primary.free > PRIMARY_RESERVE;
  if (spare && demand.waitedMs >= BUSY_PATIENCE_MS) {
    return go(primary, 'primary: replicas busy');
  }
  return {kind: 'wait', reason: 'replica busy'};
}

function withoutFresh(
  demand: ReadDemand,
  replicas: readonly Candidate[],
  current: readonly Candidate[],
  primary: Candidate | undefined,
): RouteDecision {
  const patience = Math.min(CATCH_UP_PATIENCE_MS, demand.ageMs);
  const soon = replicas.some(({lagMs}) => lagMs <= patience);
  if (soon && demand.waitedMs < patience) {
    return {kind: 'wait', reason: 'replica about to catch up'};
  }
  if (primary) return toPrimary(primary, 'primary: replicas too far behind');
  if (demand.olderWithNotice && demand.waitedMs >= OLDER_PATIENCE_MS) {
    const free = current.filter(candidate => candidate.free > 0);
    const [newest] = [...free].sort((a, b) => a.ageMs - b.ageMs);
    if (newest) return go(newest, 'older replica with notice');
  }
  return {kind: 'wait', reason: 'no primary'};
}

function toPrimary(
  primary: Candidate | undefined,
  reason: RouteReason,
): RouteDecision {
  if (!primary) return {kind: 'wait', reason: 'no primary'};
  if (primary.free > 0) return go(primary, reason);
  return {kind: 'wait', reason: 'primary busy'};
}

function go({instance}: Candidate, reason: RouteReason): RouteDecision {
  return {kind: 'go', instance, reason};
}

/** Nearest first, then the one with the least to do. */
function byNearness(a: Candidate, b: Candidate): number {
  return (
    a.distanceMs - b.distanceMs ||
    a.running - b.running ||
    (a.instance < b.instance ? -1 : 1)
  );
}

/** The latency between two sites, as settings give it. */
export type Distance = (from: SiteId, to: SiteId) => number;

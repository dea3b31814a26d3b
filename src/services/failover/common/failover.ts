import {Role, type TargetStatus} from '../../../schema/generated/announcement';
import {Phase} from '../../../schema/generated/control';
import {
  comparePositions,
  formatPosition,
  heldPosition,
  logEnd,
  ORIGIN_POSITION,
} from '../../position/common/position';
import {hasLeaseEnded} from '../../lease/common/lease_expiry';
import type {FailoverAction, FailoverView, TargetView} from './failover_view';

/** Replicas count as disconnected after this many maximum silences. */
const UPSTREAM_LOST_FACTOR = 2;
/** How long a planned change waits for replicas to catch up. */
const SWITCHOVER_TIMEOUT_MS = 1_500;
/** Minimum time from a change of primary to the next planned one. */
const MIN_PLANNED_INTERVAL_MS = 2_000;

/**
 * Decides the next actions of the control leader for one service.
 *
 * The function is pure: equal views give equal actions, so a new leader
 * continues where the previous one stopped.
 */
export function decideFailover(view: FailoverView): FailoverAction[] {
  switch (view.record.phase) {
    case Phase.PHASE_FORMING:
      return decideForming(view);
    case Phase.PHASE_CHANGING:
      return decideChanging(view);
    default:
      return decideSteady(view);
  }
}

function decideForming(view: FailoverView): FailoverAction[] {
  const connected = view.targets.filter(target => target.connected);
  if (connected.length < view.memberCount) return [];
  return [beginChange(view, 'the group is complete', false)];
}

// ---- A service with a primary ----

function decideSteady(view: FailoverView): FailoverAction[] {
  const cause = findLossCause(view);
  if (cause) return [beginChange(view, cause, false)];
  const planned = findPlannedCause(view);
  if (planned) return [beginChange(view, planned, true)];
  return view.targets.flatMap(target => reconcile(view, target));
}

/** Finds why the primary must be replaced at once; undefined if it need not. */
export function findLossCause(view: FailoverView): string | undefined {
  const primary = primaryOf(view);
  const {primaryIncarnation} = view.record;
  // A restarted process has lost its data and its promised term; as the same
  // primary it would continue with an empty log.
  const status = primary?.status;
  if (primary?.connected && status?.incarnation !== primaryIncarnation) {
    return 'the primary was started again';
  }
  if (isLostForMajority(view, primary)) {
    return 'the primary is unreachable for a majority of observers';
  }
  if (isDisconnectedFromReplicas(view)) {
    return 'the primary is cut off from its replicas';
  }
  return undefined;
}

/**
 * Whether the control leader and the attached proxies, as observers, report the
 * loss by majority. A single observer with a bad connection causes no change.
 */
function isLostForMajority(
  view: FailoverView,
  primary: TargetView | undefined,
): boolean {
  const observers = view.proxies.filter(proxy => proxy.attached);
  const reports = observers.filter(proxy => {
    return proxy.unreachableTerm === view.record.term;
  });
  const ownReport = isLostForControl(view, primary) ? 1 : 0;
  return (reports.length + ownReport) * 2 > observers.length + 1;
}

function isLostForControl(
  view: FailoverView,
  primary: TargetView | undefined,
): boolean {
  // A new leader has received no status yet, which must not count as a loss.
  if (!primary?.status) return view.now - view.leaderSince >= view.maxSilenceMs;
  return !primary.connected || primary.silentMs >= view.maxSilenceMs;
}

function isDisconnectedFromReplicas(view: FailoverView): boolean {
  if (view.requiredConfirmations === 0) return false;
  const replicas = view.targets.filter(target => {
    return target.connected && target.instance !== view.record.primary;
  });
  if (replicas.length < view.requiredConfirmations) return false;
  const minLostMs = view.maxSilenceMs * UPSTREAM_LOST_FACTOR;
  // Replicas may have been disconnected since the previous primary was lost.
  // The time counts from when the current primary was chosen.
  if (view.phaseAgeMs < minLostMs) return false;
  const disconnected = replicas.filter(
    ({upstreamLostMs}) => upstreamLostMs >= minLostMs,
  );
  if (disconnected.length === replicas.length) return true;
  const observers = view.proxies.filter(proxy => proxy.attached);
  const unconfirmed = observers.filter(proxy => {
    return proxy.unconfirmedTerm === view.record.term;
  });
  return disconnected.length > 0 && unconfirmed.length * 2 > observers.length;
}

function findPlannedCause(view: FailoverView): string | undefined {
  const primary = primaryOf(view);
  if (!primary?.status) return undefined;
  // If the last change chose the leaving primary again, an immediate retry
  // would only interrupt the service.
  if (view.phaseAgeMs < MIN_PLANNED_INTERVAL_MS) return undefined;
  const isLeaving = primary.draining || primary.status.leaving;
  const hasSuccessor = view.targets.some(target => {
    return target !== primary && canSucceed(view, target);
  });
  if (!isLeaving || !hasSuccessor) return undefined;
  return primary.draining ? 'the primary is drained' : 'the primary leaves';
}

function canSucceed(view: FailoverView, target: TargetView): boolean {
  const {connected, draining, status} = target;
  if (!connected || draining || !status || status.leaving) return false;
  return status.matchedTerm === view.record.term && status.upstreamConnected;
}

/** Makes a member follow the current term and primary. */
function reconcile(view: FailoverView, target: TargetView): FailoverAction[] {
  const {status, connected, instance} = target;
  const {record} = view;
  if (!connected || !status) return [];
  if (instance === record.primary) {
    const isPrimary = status.role === Role.ROLE_PRIMARY;
    if (isPrimary && status.term === record.term) return [];
    return [{kind: 'promote', instance}];
  }
  if (status.term >= record.term && status.upstreamConnected) return [];
  const primary = primaryOf(view)?.status;
  if (primary?.role !== Role.ROLE_PRIMARY || primary.term !== record.term) {
    return [];
  }
  const {replicationAddress} = primary;
  return [{kind: 'follow', instance, replicationAddress}];
}

// ---- A service between two primaries ----

function decideChanging(view: FailoverView): FailoverAction[] {
  const haveEnded = haveLeasesEnded(view);
  // In a planned change running writes complete on the old primary and are
  // replicated first; an earlier fence would abort them needlessly.
  if (view.record.planned && !(haveEnded && isSwitchoverReady(view))) return [];
  const actions: FailoverAction[] = decideFences(view);
  if (!haveEnded) return actions;
  actions.push({kind: 'closed'});
  const candidates = view.targets.filter(target => isCandidate(view, target));
  if (view.record.planned && !haveAllReplied(view, candidates)) return actions;
  const safety = checkSafety(view, candidates);
  if ('reason' in safety) {
    return [...actions, {kind: 'blocked', reason: safety.reason}];
  }
  const successor = chooseSuccessor(preferStaying(view, candidates));
  if (!successor) return actions;
  const {incarnation} = successor.status!;
  actions.push({
    kind: 'complete',
    primary: successor.instance,
    incarnation,
    base: logEnd(successor.status!),
    inputs: `${safety.rule}; ${describeTargets(view)}`,
  });
  return actions;
}

/** Whether a replica has the whole log of the old primary, or time is up. */
function isSwitchoverReady(view: FailoverView): boolean {
  if (view.phaseAgeMs >= SWITCHOVER_TIMEOUT_MS) return true;
  const oldPrimary = view.targets.find(({status, connected}) => {
    return connected && status?.role === Role.ROLE_PRIMARY;
  });
  if (!oldPrimary) return true;
  const offset = oldPrimary.status!.received?.offset ?? 0;
  return view.targets.some(target => {
    const {status} = target;
    if (target === oldPrimary || !status || !target.connected) return false;
    if (target.draining || status.leaving) return false;
    return (status.received?.offset ?? 0) >= offset;
  });
}

/** Whether all connected members replied, for which a planned change waits. */
function haveAllReplied(
  view: FailoverView,
  candidates: readonly TargetView[],
): boolean {
  if (view.phaseAgeMs >= SWITCHOVER_TIMEOUT_MS) return true;
  const connected = view.targets.filter(target => target.connected);
  return candidates.length === connected.length;
}

/**
 * Prefers the members that are not leaving if they are enough to be safe.
 * Otherwise returns all: the newest log takes precedence over draining.
 */
function preferStaying(
  view: FailoverView,
  candidates: readonly TargetView[],
): readonly TargetView[] {
  const staying = candidates.filter(candidate => {
    return !candidate.draining && !candidate.status!.leaving;
  });
  const counted = staying.filter(hasData);
  const isEnough =
    counted.length >= view.memberCount - view.requiredConfirmations;
  return isEnough ? staying : candidates;
}

function decideFences(view: FailoverView): FailoverAction[] {
  return view.targets
    .filter(({connected, status}) => {
      return connected && status && status.term < view.record.term;
    })
    .map(({instance}) => ({kind: 'fence', instance}));
}

/** Whether a member promised the new term and reported its log. */
function isCandidate(view: FailoverView, target: TargetView): boolean {
  const {status, connected} = target;
  if (!connected || !status) return false;
  return status.term === view.record.term && status.role === Role.ROLE_REPLICA;
}

/**
 * Guard: two primaries must not both acknowledge writes. A new term begins only
 * when every registered proxy has returned its lease or it has expired; a new
 * leader also waits for leases that the previous one may have granted.
 */
export function haveLeasesEnded(view: FailoverView): boolean {
  const {record, leaderSince, maxLeaseMs, now} = view;
  if (record.termStarts.length === 0) return true;
  return view.proxies.every(proxy => {
    return hasLeaseEnded(proxy, record.term, {leaderSince, maxLeaseMs}, now);
  });
}

type Safety = {readonly rule: string} | {readonly reason: string};

/**
 * Guard: no acknowledged write may be lost. It is on the primary and on the
 * required number of replicas, so at most that many members may be missing or
 * without data, unless a member holds all that the proxies acknowledged. Any
 * set that leaves out no more members includes one that has the write.
 */
function checkSafety(
  view: FailoverView,
  candidates: readonly TargetView[],
): Safety {
  const isFirstTerm = view.record.termStarts.length === 0;
  const counted = candidates.filter(
    candidate => isFirstTerm || hasData(candidate),
  );
  const required =
    view.memberCount - (isFirstTerm ? 0 : view.requiredConfirmations);
  if (counted.length >= required) {
    return {rule: `${counted.length} of ${view.memberCount} members answered`};
  }
  const successor = chooseSuccessor(counted);
  if (!isFirstTerm && successor && holdsAllAcknowledged(view, successor)) {
    return {rule: 'it holds all that any proxy acknowledged'};
  }
  if (view.isForced && candidates.length > 0) {
    return {rule: 'an operator forced the change'};
  }
  const reason =
    `${counted.length} of ${view.memberCount} members with their data ` +
    `answered, ${required} are needed; bring a member back or force the change`;
  return {reason};
}

/** Whether a member never lost its data, or has caught up since. */
function hasData({status, firstIncarnation}: TargetView): boolean {
  const {matchedTerm, incarnation} = status!;
  return matchedTerm > 0 || incarnation === firstIncarnation;
}

function holdsAllAcknowledged(
  view: FailoverView,
  successor: TargetView,
): boolean {
  const held = heldPosition(successor.status!);
  return view.proxies.every(proxy => {
    if (proxy.returnedBelow < view.record.term) return false;
    const highest = proxy.highestAcknowledged ?? ORIGIN_POSITION;
    return comparePositions(held, highest) >= 0;
  });
}

/**
 * Chooses the log that was matched with the newest term, then the longest. The
 * newest entry does not decide: an old primary may hold later entries that a
 * newer term without writes has discarded.
 */
function chooseSuccessor(
  candidates: readonly TargetView[],
): TargetView | undefined {
  const rank = ({status, draining}: TargetView) => {
    return draining || status!.leaving ? 1 : 0;
  };
  return [...candidates].sort((a, b) => {
    const order = comparePositions(
      heldPosition(b.status!),
      heldPosition(a.status!),
    );
    return order || rank(a) - rank(b) || (a.instance < b.instance ? -1 : 1);
  })[0];
}

// ---- Helpers ----

function primaryOf(view: FailoverView): TargetView | undefined {
  return view.targets.find(({instance}) => instance === view.record.primary);
}

function beginChange(
  view: FailoverView,
  cause: string,
  planned: boolean,
): FailoverAction {
  const terms = view.targets.map(({status}) => status?.term ?? 0);
  const term = Math.max(view.record.term, ...terms) + 1;
  const inputs = `${describeTargets(view)}; ${describeProxies(view)}`;
  return {kind: 'begin', term, cause, inputs, planned};
}

function describeTargets(view: FailoverView): string {
  return view.targets.map(describeTarget).join(', ');
}

function describeTarget(target: TargetView): string {
  const {instance, status, connected, silentMs} = target;
  if (!status) return `${instance} never seen`;
  const link = connected ? `silent ${Math.round(silentMs)} ms` : 'closed';
  return `${instance} at ${describeStatus(status)} ${link}`;
}

function describeStatus(status: TargetStatus): string {
  return `${formatPosition(heldPosition(status))} in term ${status.term}`;
}

function describeProxies(view: FailoverView): string {
  const attached = view.proxies.filter(proxy => proxy.attached);
  const lost = attached.filter(proxy => {
    return proxy.unreachableTerm === view.record.term;
  });
  return `${lost.length} of ${attached.length} proxies report a loss`;
}

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

/** Replicas must miss their primary for this many silences to convict it. */
const UPSTREAM_PATIENCE = 2;
/** In a planned change replicas are waited for this long, in milliseconds. */
const HANDOVER_MS = 1_500;
/** Least time from a primary's choice to a planned change, in milliseconds. */
const PLANNED_PAUSE_MS = 2_000;

/**
 * Decides what the control leader does next for one service.
 *
 * Pure and without memory: the same view gives the same actions, so a new
 * leader goes on where the last one stopped.
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
  const present = view.targets.filter(target => target.connected);
  if (present.length < view.memberCount) return [];
  return [begin(view, 'the group is complete', false)];
}

// ---- A service with a primary ----

function decideSteady(view: FailoverView): FailoverAction[] {
  const cause = findLossCause(view);
  if (cause) return [begin(view, cause, false)];
  const planned = causeOfPlannedChange(view);
  if (planned) return [begin(view, planned, true)];
  return view.targets.flatMap(target => tend(view, target));
}

/** Why the primary must be replaced at once, or undefined. */
export function findLossCause(view: FailoverView): string | undefined {
  const primary = primaryOf(view);
  const {primaryIncarnation} = view.record;
  // A process that was started again has lost what it held in memory, and
  // its promises with it: under its old name it would lead an empty log.
  const status = primary?.status;
  if (primary?.connected && status?.incarnation !== primaryIncarnation) {
    return 'the primary was started again';
  }
  if (isLostToMajority(view, primary)) {
    return 'the primary is unreachable for a majority of observers';
  }
  if (isCutFromReplicas(view)) {
    return 'the primary is cut off from its replicas';
  }
  return undefined;
}

/**
 * A single observer with a bad link must not cause a change: the control
 * leader and the attached proxies vote.
 */
function isLostToMajority(
  view: FailoverView,
  primary: TargetView | undefined,
): boolean {
  const observers = view.proxies.filter(proxy => proxy.attached);
  const against = observers.filter(proxy => {
    return proxy.unreachableTerm === view.record.term;
  });
  const own = isLostToControl(view, primary) ? 1 : 0;
  return (against.length + own) * 2 > observers.length + 1;
}

function isLostToControl(
  view: FailoverView,
  primary: TargetView | undefined,
): boolean {
  // A leader that has just started has seen nobody yet: it must not take its
  // own ignorance for a loss.
  if (!primary?.status) return view.now - view.leaderSince >= view.maxSilenceMs;
  return !primary.connected || primary.silentMs >= view.maxSilenceMs;
}

function isCutFromReplicas(view: FailoverView): boolean {
  if (view.requiredConfirmations === 0) return false;
  const replicas = view.targets.filter(target => {
    return target.connected && target.instance !== view.record.primary;
  });
  if (replicas.length < view.requiredConfirmations) return false;
  const limit = view.maxSilenceMs * UPSTREAM_PATIENCE;
  // Replicas miss their primary since the one before was lost. That is no
  // fault of the new one: the time counts from when it was chosen.
  if (view.phaseAgeMs < limit) return false;
  const cut = replicas.filter(({upstreamLostMs}) => upstreamLostMs >= limit);
  if (cut.length === replicas.length) return true;
  const observers = view.proxies.filter(proxy => proxy.attached);
  const unconfirmed = observers.filter(proxy => {
    return proxy.unconfirmedTerm === view.record.term;
  });
  return cut.length > 0 && unconfirmed.length * 2 > observers.length;
}

function causeOfPlannedChange(view: FailoverView): string | undefined {
  const primary = primaryOf(view);
  if (!primary?.status) return undefined;
  // Where the best heir was the leaving primary itself, trying again at once
  // would do nothing but interrupt.
  if (view.phaseAgeMs < PLANNED_PAUSE_MS) return undefined;
  const wanted = primary.draining || primary.status.leaving;
  const heir = view.targets.some(target => {
    return target !== primary && isHeir(view, target);
  });
  if (!wanted || !heir) return undefined;
  return primary.draining ? 'the primary is drained' : 'the primary leaves';
}

function isHeir(view: FailoverView, target: TargetView): boolean {
  const {connected, draining, status} = target;
  if (!connected || draining || !status || status.leaving) return false;
  return status.matchedTerm === view.record.term && status.upstreamConnected;
}

/** Brings a member into line with the term in force. */
function tend(view: FailoverView, target: TargetView): FailoverAction[] {
  const {status, connected, instance} = target;
  const {record} = view;
  if (!connected || !status) return [];
  if (instance === record.primary) {
    const leads = status.role === Role.ROLE_PRIMARY;
    if (leads && status.term === record.term) return [];
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
  const isOver = haveLeasesEnded(view);
  // A planned change lets running writes end on the old primary and replicas
  // take them over: a fence before that would undo work for nothing.
  if (view.record.planned && !(isOver && isHandedOver(view))) return [];
  const actions: FailoverAction[] = fenceActions(view);
  if (!isOver) return actions;
  actions.push({kind: 'closed'});
  const holders = view.targets.filter(target => isHolder(view, target));
  if (view.record.planned && !haveAllAnswered(view, holders)) return actions;
  const safe = safetyOf(view, holders);
  if ('reason' in safe) {
    return [...actions, {kind: 'blocked', reason: safe.reason}];
  }
  const heir = chooseHeir(preferred(view, holders));
  if (!heir) return actions;
  const {incarnation} = heir.status!;
  actions.push({
    kind: 'complete',
    primary: heir.instance,
    incarnation,
    base: logEnd(heir.status!),
    inputs: `${safe.rule}; ${describeTargets(view)}`,
  });
  return actions;
}

/** A replica holds all that the old primary does, or time is up. */
function isHandedOver(view: FailoverView): boolean {
  if (view.phaseAgeMs >= HANDOVER_MS) return true;
  const old = view.targets.find(({status, connected}) => {
    return connected && status?.role === Role.ROLE_PRIMARY;
  });
  if (!old) return true;
  const offset = old.status!.received?.offset ?? 0;
  return view.targets.some(target => {
    const {status} = target;
    if (target === old || !status || !target.connected) return false;
    if (target.draining || status.leaving) return false;
    return (status.received?.offset ?? 0) >= offset;
  });
}

/** In a planned change there is time to hear every member. */
function haveAllAnswered(
  view: FailoverView,
  holders: readonly TargetView[],
): boolean {
  if (view.phaseAgeMs >= HANDOVER_MS) return true;
  const connected = view.targets.filter(target => target.connected);
  return holders.length === connected.length;
}

/**
 * Members that stay, where they alone would be enough to be safe; otherwise
 * all, since the newest log goes before an operator's wish.
 */
function preferred(
  view: FailoverView,
  holders: readonly TargetView[],
): readonly TargetView[] {
  const staying = holders.filter(holder => {
    return !holder.draining && !holder.status!.leaving;
  });
  const counted = staying.filter(hasItsData);
  const enough =
    counted.length >= view.memberCount - view.requiredConfirmations;
  return enough ? staying : holders;
}

function fenceActions(view: FailoverView): FailoverAction[] {
  return view.targets
    .filter(({connected, status}) => {
      return connected && status && status.term < view.record.term;
    })
    .map(({instance}) => ({kind: 'fence', instance}));
}

/** A member that has promised the new term and says what it holds. */
function isHolder(view: FailoverView, target: TargetView): boolean {
  const {status, connected} = target;
  if (!connected || !status) return false;
  return status.term === view.record.term && status.role === Role.ROLE_REPLICA;
}

/**
 * Guard against two primaries that both acknowledge: the new term begins only
 * when each registered proxy has handed its lease back or cannot hold one any
 * more. A leader that is new waits out what the one before may have granted.
 */
export function haveLeasesEnded(view: FailoverView): boolean {
  const {record, leaderSince, maxLeaseMs: boundMs, now} = view;
  if (record.termStarts.length === 0) return true;
  return view.proxies.every(proxy => {
    return hasLeaseEnded(
      proxy,
      record.term,
      {leaderSince, maxLeaseMs: boundMs},
      now,
    );
  });
}

type Safety = {readonly rule: string} | {readonly reason: string};

/**
 * Guard against losing acknowledged writes. Such a write is on the primary and
 * on as many replicas as there are confirmations; so any set of members that
 * leaves out no more than that many meets it. A member that lost its data and
 * has not caught up since counts as left out. Fewer members do where every
 * proxy said what it acknowledged last and a member holds all of it.
 */
function safetyOf(view: FailoverView, holders: readonly TargetView[]): Safety {
  const first = view.record.termStarts.length === 0;
  const counted = holders.filter(holder => first || hasItsData(holder));
  const needed = view.memberCount - (first ? 0 : view.requiredConfirmations);
  if (counted.length >= needed) {
    return {rule: `${counted.length} of ${view.memberCount} members answered`};
  }
  const heir = chooseHeir(counted);
  if (!first && heir && holdsAllAcknowledged(view, heir)) {
    return {rule: 'it holds all that any proxy acknowledged'};
  }
  if (view.isForced && holders.length > 0) {
    return {rule: 'an operator forced the change'};
  }
  const reason =
    `${counted.length} of ${view.memberCount} members with their data answered, ` +
    `${needed} are needed; bring a member back or force the change`;
  return {reason};
}

/** A member that never lost its data, or has caught up since it did. */
function hasItsData({status, firstIncarnation}: TargetView): boolean {
  const {matchedTerm, incarnation} = status!;
  return matchedTerm > 0 || incarnation === firstIncarnation;
}

function holdsAllAcknowledged(view: FailoverView, heir: TargetView): boolean {
  const held = heldPosition(heir.status!);
  return view.proxies.every(proxy => {
    if (proxy.returnedBelow < view.record.term) return false;
    const highest = proxy.highestAcknowledged ?? ORIGIN_POSITION;
    return comparePositions(held, highest) >= 0;
  });
}

/**
 * The newest log wins: the one matched with the newest term, then the longest.
 * Not the one with the newest entry: an old primary may hold later entries of
 * its own than a newer term that wrote nothing, and they were given up.
 */
function chooseHeir(holders: readonly TargetView[]): TargetView | undefined {
  const rank = ({status, draining}: TargetView) => {
    return draining || status!.leaving ? 1 : 0;
  };
  return [...holders].sort((a, b) => {
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

function begin(
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

import {settled, type Task} from '../../../base/node/task';
import type {LogBaseline, Member} from '../../../schema/generated/fleet';
import {ORIGIN_POSITION, type Position} from '../../position/common/position';
import type {MemberStatus} from '../../target_link/common/member_status';
import {chooseSuccessor} from '../common/choose_successor';
import type {MemberLog} from '../common/complete_log';
import {stopTermOf} from '../common/stopped_replicas';
import type {MemberMonitor} from './member_monitor';

/** A primary that has been silent for longer is not sent a step-down. */
const MAX_STEP_DOWN_SILENCE_MS = 400;

/** The members of a service, their monitors and what is known of their logs. */
export interface MemberGroup {
  members(): readonly Member[];
  monitorOf(member: Member): MemberMonitor;
  /** Whether a member may have restarted since its last announcement. */
  isUncertain(member: Member): boolean;
  /** With members that have ended and are not in the control log yet. */
  baseline(): LogBaseline;
  /** How many replicas receive a commit before it is acknowledged. */
  confirmations(): number;
}

/** The member that can be promoted, or why the search has to be repeated. */
export type SuccessorSearchResult =
  | {
      readonly kind: 'successor';
      readonly instance: string;
      /** The end of its log. */
      readonly end: Position;
      /** The first term in which it can lead. */
      readonly leadTerm: number;
      /** It is the primary already. */
      readonly leads: boolean;
      /** Acknowledged commits may be gone with members that ended for good. */
      readonly isLossPossible: boolean;
      /** Whether the old primary confirmed that it stepped down. */
      readonly hasSteppedDown: boolean;
      /** Log positions of all members, for the log line. */
      readonly answers: string;
    }
  | {
      readonly kind: 'wait';
      readonly reason: string;
      /** What ends the wait. */
      readonly until: string;
      readonly answers: string;
    };

/** Stops the writes of a service and finds the member to promote. */
export function* findSuccessor(
  group: MemberGroup,
  primary: string,
  canPrimaryStay: boolean,
): Task<SuccessorSearchResult> {
  const members = group.members();
  const term = stopTermOf('promotion', findNewestTerm(group));
  const oldPrimary = members.find(({instance}) => instance === primary);
  const stepDownStatus =
    oldPrimary && (yield* stepDown(group, oldPrimary, term));
  const hasSteppedDown =
    stepDownStatus !== undefined && !stepDownStatus.isPrimary;
  const others = members.filter(({instance}) => instance !== primary);
  // Nothing new is acknowledged after the old primary stepped down, so its
  // replicas may catch up. Otherwise they must stop before they report.
  const statuses = yield* sendToAll(
    group,
    others,
    hasSteppedDown ? {kind: 'status'} : {kind: 'pause', term},
  );
  const logs = yield* readOtherLogs(group, others, statuses);
  if (oldPrimary) logs.unshift(toMemberLog(group, oldPrimary, stepDownStatus));
  const baseline = group.baseline();
  const choice = chooseSuccessor(
    {
      confirmations: group.confirmations(),
      primary,
      primaryLastSeen: lastSeen(group, oldPrimary),
      baseline,
      members: logs,
    },
    canPrimaryStay,
  );
  const answers = describeLogs(logs, baseline);
  // Guard: a replica that joined meanwhile was not stopped, and may have
  // confirmed commits that no other one has.
  if (describeMembers(group.members()) !== describeMembers(members)) {
    const reason = 'the members changed while their logs were compared';
    return {kind: 'wait', reason, until: 'they are compared again', answers};
  }
  if (choice.kind === 'wait') return {...choice, answers};
  const successor = logs.find(({instance}) => instance === choice.instance);
  const leads = successor?.isLeader === true;
  return {...choice, kind: 'successor', leads, hasSteppedDown, answers};
}

function describeMembers(members: readonly Member[]): string {
  const parts = members.map(({instance, born}) => `${instance} ${born}`);
  return parts.sort().join(',');
}

/** The logs of all members but the assigned primary. */
function* readOtherLogs(
  group: MemberGroup,
  members: readonly Member[],
  statuses: readonly (MemberStatus | undefined)[],
): Task<MemberLog[]> {
  const newestTerm = findNewestTerm(group);
  const term = newestTerm + 1;
  const logs: MemberLog[] = [];
  for (const [index, member] of members.entries()) {
    const status = statuses[index];
    const isLeader = !!status?.isPrimary && status.term === newestTerm;
    if (!status?.isPrimary || (isLeader && !member.draining)) {
      logs.push({...toMemberLog(group, member, status), isLeader});
      continue;
    }
    // It leads an earlier term, or it is draining.
    const [stopped] = yield* sendToAll(group, [member], {
      kind: 'stepDown',
      term,
    });
    const hasStopped = stopped && !stopped.isPrimary;
    const log = toMemberLog(group, member, hasStopped ? stopped : undefined);
    logs.push({...log, isLeader});
  }
  return logs;
}

/** The highest term that a member reported. */
function findNewestTerm(group: MemberGroup): number {
  const terms = group.members().map(member => group.monitorOf(member).term);
  return Math.max(0, ...terms);
}

/** Sends a command to members in parallel; undefined where none replied. */
export function* sendToAll(
  group: Pick<MemberGroup, 'monitorOf'>,
  members: readonly Member[],
  command: Parameters<MemberMonitor['sendCommand']>[0],
): Task<(MemberStatus | undefined)[]> {
  const replies = members.map(member => {
    return group.monitorOf(member).sendCommand(command);
  });
  const statuses: (MemberStatus | undefined)[] = [];
  for (const reply of replies) {
    const outcome = yield* settled(reply);
    statuses.push('value' in outcome ? outcome.value : undefined);
  }
  return statuses;
}

/** The last position that control saw of the assigned primary. */
function lastSeen(group: MemberGroup, primary: Member | undefined): Position {
  return (primary && group.monitorOf(primary).lastPosition) ?? ORIGIN_POSITION;
}

function* stepDown(
  group: MemberGroup,
  primary: Member,
  term: number,
): Task<MemberStatus | undefined> {
  // Waiting for a primary that has failed would only delay the promotion.
  const {silentMs} = group.monitorOf(primary);
  if (silentMs > MAX_STEP_DOWN_SILENCE_MS) return undefined;
  const [status] = yield* sendToAll(group, [primary], {kind: 'stepDown', term});
  return status?.isPrimary ? undefined : status;
}

function toMemberLog(
  group: MemberGroup,
  member: Member,
  status: MemberStatus | undefined,
): MemberLog {
  const {instance, address, born, draining} = member;
  const received = status?.receivedPosition;
  return {
    instance,
    address,
    born,
    draining,
    received,
    term: status?.term ?? 0,
    isLeader: false,
    isUncertain: group.isUncertain(member),
  };
}

/** Describes logs as they were reported, for log lines. */
export function describeLogs(
  logs: readonly MemberLog[],
  {former, term, offset}: LogBaseline,
): string {
  const parts = logs.map(describeLog);
  for (const {instance} of former) parts.push(`${instance}:ended`);
  return [...parts, `baseline:${term}/${offset}`].join(' ');
}

function describeLog(log: MemberLog): string {
  const {instance, received, isLeader, isUncertain} = log;
  const position = received ? `${received.term}/${received.offset}` : 'silent';
  const notes = `${isLeader ? ':leads' : ''}${isUncertain ? ':uncertain' : ''}`;
  return `${instance}:${position}${notes}`;
}

import {settled, type Task} from '../../../base/node/task';
import type {Member} from '../../../schema/generated/fleet';
import {chooseSuccessor, type MemberLogState} from '../common/choose_successor';
import type {MemberStatus} from '../../target_link/common/member_status';
import type {MemberMonitor} from './member_monitor';

/** A primary that has been silent for longer is not sent a step-down. */
const MAX_STEP_DOWN_SILENCE_MS = 400;

/** The members of a service and their monitors. */
export interface MemberGroup {
  members(): readonly Member[];
  monitorOf(member: Member): MemberMonitor;
}

/** The member that can be promoted, or why the search has to be repeated. */
export type SuccessorSearchResult =
  | {
      readonly kind: 'successor';
      readonly instance: string;
      /** Whether the old primary confirmed that it stepped down. */
      readonly hasSteppedDown: boolean;
      /** Log positions of all members, for the log line. */
      readonly answers: string;
    }
  | {readonly kind: 'wait'; readonly reason: string; readonly answers: string};

/** Stops the writes of a service and finds the member to promote. */
export function* findSuccessor(
  group: MemberGroup,
  primary: string,
): Task<SuccessorSearchResult> {
  const members = group.members();
  const terms = members.map(member => group.monitorOf(member).term);
  const term = Math.max(0, ...terms) + 1;
  const oldPrimaryMember = members.find(({instance}) => instance === primary);
  const stepDownStatus =
    oldPrimaryMember && (yield* stepDown(group, oldPrimaryMember, term));
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
  const replicas: MemberLogState[] = [];
  for (const [index, member] of others.entries()) {
    let status = statuses[index];
    // A member that was the primary before a promotion that never took effect
    // still is.
    if (status?.isPrimary) {
      [status] = yield* sendToAll(group, [member], {kind: 'stepDown', term});
    }
    replicas.push(toLogState(member, status));
  }
  const oldPrimary =
    oldPrimaryMember && toLogState(oldPrimaryMember, stepDownStatus);
  const choice = chooseSuccessor({oldPrimary, replicas});
  const states = oldPrimary ? [oldPrimary, ...replicas] : replicas;
  const answers = states.map(describe).join(' ');
  if (choice.kind === 'wait') return {...choice, answers};
  const {instance} = choice;
  return {kind: 'successor', instance, hasSteppedDown, answers};
}

/** Sends a command to members in parallel; undefined where none replied. */
export function* sendToAll(
  group: MemberGroup,
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

function* stepDown(
  group: MemberGroup,
  primary: Member,
  term: number,
): Task<MemberStatus | undefined> {
  // Waiting for a primary that has failed would only delay the promotion.
  const {silentMs} = group.monitorOf(primary);
  if (silentMs > MAX_STEP_DOWN_SILENCE_MS) return undefined;
  const [status] = yield* sendToAll(group, [primary], {kind: 'stepDown', term});
  return status;
}

function toLogState(
  {instance, draining, recovering}: Member,
  status: MemberStatus | undefined,
): MemberLogState {
  // A primary did not stop, so its log may still grow.
  const received = status?.isPrimary ? undefined : status?.receivedPosition;
  return {instance, draining, recovering, received};
}

function describe({instance, received, recovering}: MemberLogState): string {
  const position = received ? `${received.term}/${received.offset}` : 'silent';
  return `${instance}:${position}${recovering ? ':recovering' : ''}`;
}

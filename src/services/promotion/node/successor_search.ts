import {settled, type Task} from '../../../base/node/task';
import type {Member} from '../../../schema/generated/fleet';
import {chooseSuccessor, type MemberLogState} from '../common/choose_successor';
import type {MemberStatus} from '../../target_link/common/member_status';
import type {MemberMonitor} from './member_monitor';

/** A primary that was silent for longer is not asked to step down, in ms. */
const STEP_DOWN_SILENCE_MS = 400;

/** The members of a service, and how they are reached. */
export interface MemberGroup {
  members(): readonly Member[];
  monitorOf(member: Member): MemberMonitor;
}

/** What a search came to. */
export type SuccessorSearchResult =
  | {
      readonly kind: 'heir';
      readonly instance: string;
      /** The old primary said itself that it leads no more. */
      readonly hasSteppedDown: boolean;
      /** What the members answered, for the log. */
      readonly answers: string;
    }
  | {readonly kind: 'wait'; readonly reason: string; readonly answers: string};

/** Stops a service's writes and finds the member that may lead next. */
export function* findSuccessor(
  group: MemberGroup,
  lead: string,
): Task<SuccessorSearchResult> {
  const members = group.members();
  const terms = members.map(member => group.monitorOf(member).term);
  const term = Math.max(0, ...terms) + 1;
  const old = members.find(({instance}) => instance === lead);
  const stepped = old && (yield* stepDown(group, old, term));
  const hasSteppedDown = stepped !== undefined && !stepped.isPrimary;
  const others = members.filter(({instance}) => instance !== lead);
  // After the old primary stepped down nothing new is acknowledged, and its
  // replicas may catch up; otherwise they have to stop before they count.
  const statuses = yield* sendToAll(
    group,
    others,
    hasSteppedDown ? {kind: 'status'} : {kind: 'pause', term},
  );
  const replicas: MemberLogState[] = [];
  for (const [index, member] of others.entries()) {
    let status = statuses[index];
    // One that led before an order that was never carried out leads on.
    if (status?.isPrimary) {
      [status] = yield* sendToAll(group, [member], {kind: 'stepDown', term});
    }
    replicas.push(answerOf(member, status));
  }
  const oldPrimary = old && answerOf(old, stepped);
  const choice = chooseSuccessor({oldPrimary, replicas});
  const known = oldPrimary ? [oldPrimary, ...replicas] : replicas;
  const answers = known.map(describe).join(' ');
  if (choice.kind === 'wait') return {...choice, answers};
  const {instance} = choice;
  return {kind: 'heir', instance, hasSteppedDown, answers};
}

/** Gives an order to members side by side; what each answered. */
export function* sendToAll(
  group: MemberGroup,
  members: readonly Member[],
  statement: Parameters<MemberMonitor['sendCommand']>[0],
): Task<(MemberStatus | undefined)[]> {
  const orders = members.map(member => {
    return group.monitorOf(member).sendCommand(statement);
  });
  const statuses: (MemberStatus | undefined)[] = [];
  for (const order of orders) {
    const done = yield* settled(order);
    statuses.push('value' in done ? done.value : undefined);
  }
  return statuses;
}

function* stepDown(
  group: MemberGroup,
  old: Member,
  term: number,
): Task<MemberStatus | undefined> {
  // Waiting for the word of one that is gone would only add to the gap.
  const {silentMs} = group.monitorOf(old);
  if (silentMs > STEP_DOWN_SILENCE_MS) return undefined;
  const [status] = yield* sendToAll(group, [old], {kind: 'stepDown', term});
  return status;
}

function answerOf(
  {instance, draining, recovering}: Member,
  status: MemberStatus | undefined,
): MemberLogState {
  // One that leads was not stopped, so its log goes on.
  const received = status?.isPrimary ? undefined : status?.receivedPosition;
  return {instance, draining, recovering, received};
}

function describe({instance, received, recovering}: MemberLogState): string {
  const at = received ? `${received.term}/${received.offset}` : 'silent';
  return `${instance}:${at}${recovering ? ':recovering' : ''}`;
}

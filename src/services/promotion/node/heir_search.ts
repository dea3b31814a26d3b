import {settled, type Task} from '../../../base/node/task';
import type {Member} from '../../../schema/generated/fleet';
import {chooseHeir, type MemberAnswer} from '../common/heir';
import type {MemberStatus} from '../../target_link/common/member_status';
import type {MemberWatch} from './member_watch';

/** A primary that was silent for longer is not asked to step down, in ms. */
const STEP_DOWN_SILENCE_MS = 400;

/** The members of a service, and how they are reached. */
export interface Group {
  members(): readonly Member[];
  watchOf(member: Member): MemberWatch;
}

/** What a search came to. */
export type HeirFinding =
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
export function* findHeir(group: Group, lead: string): Task<HeirFinding> {
  const members = group.members();
  const terms = members.map(member => group.watchOf(member).term);
  const term = Math.max(0, ...terms) + 1;
  const old = members.find(({instance}) => instance === lead);
  const stepped = old && (yield* stepDown(group, old, term));
  const hasSteppedDown = stepped !== undefined && !stepped.leads;
  const others = members.filter(({instance}) => instance !== lead);
  // After the old primary stepped down nothing new is acknowledged, and its
  // replicas may catch up; otherwise they have to stop before they count.
  const statuses = yield* orderAll(
    group,
    others,
    hasSteppedDown ? {kind: 'status'} : {kind: 'pause', term},
  );
  const replicas: MemberAnswer[] = [];
  for (const [index, member] of others.entries()) {
    let status = statuses[index];
    // One that led before an order that was never carried out leads on.
    if (status?.leads) {
      [status] = yield* orderAll(group, [member], {kind: 'stepDown', term});
    }
    replicas.push(answerOf(member, status));
  }
  const oldPrimary = old && answerOf(old, stepped);
  const choice = chooseHeir({oldPrimary, replicas});
  const known = oldPrimary ? [oldPrimary, ...replicas] : replicas;
  const answers = known.map(describe).join(' ');
  if (choice.kind === 'wait') return {...choice, answers};
  const {instance} = choice;
  return {kind: 'heir', instance, hasSteppedDown, answers};
}

/** Gives an order to members side by side; what each answered. */
export function* orderAll(
  group: Group,
  members: readonly Member[],
  statement: Parameters<MemberWatch['order']>[0],
): Task<(MemberStatus | undefined)[]> {
  const orders = members.map(member => {
    return group.watchOf(member).order(statement);
  });
  const statuses: (MemberStatus | undefined)[] = [];
  for (const order of orders) {
    const done = yield* settled(order);
    statuses.push('value' in done ? done.value : undefined);
  }
  return statuses;
}

function* stepDown(
  group: Group,
  old: Member,
  term: number,
): Task<MemberStatus | undefined> {
  // Waiting for the word of one that is gone would only add to the gap.
  const {silentMs} = group.watchOf(old);
  if (silentMs > STEP_DOWN_SILENCE_MS) return undefined;
  const [status] = yield* orderAll(group, [old], {kind: 'stepDown', term});
  return status;
}

function answerOf(
  {instance, draining, recovering}: Member,
  status: MemberStatus | undefined,
): MemberAnswer {
  // One that leads was not stopped, so its log goes on.
  const received = status?.leads ? undefined : status?.received;
  return {instance, draining, recovering, received};
}

function describe({instance, received, recovering}: MemberAnswer): string {
  const at = received ? `${received.term}/${received.offset}` : 'silent';
  return `${instance}:${at}${recovering ? ':recovering' : ''}`;
}

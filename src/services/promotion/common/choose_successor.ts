import {
  comparePositions,
  formatPosition,
  type Position,
} from '../../position/common/position';
import {findCompleteEnd, type GroupLogs, type MemberLog} from './complete_log';

/** The member to promote, or why none can be promoted yet. */
export type SuccessorChoice =
  | {
      readonly kind: 'promote';
      readonly instance: string;
      /** The end of its log. */
      readonly end: Position;
      /** The first term in which it can lead. */
      readonly leadTerm: number;
      /** Acknowledged commits may be gone with members that ended for good. */
      readonly isLossPossible: boolean;
    }
  | {
      readonly kind: 'wait';
      readonly reason: string;
      /** What ends the wait. */
      readonly until: string;
    };

/**
 * Chooses the next primary among the members whose logs hold every acknowledged
 * commit.
 *
 * @param canPrimaryStay Whether the assigned primary may be promoted again if
 *     no other member can be.
 */
export function chooseSuccessor(
  group: GroupLogs,
  canPrimaryStay: boolean,
): SuccessorChoice {
  const complete = findCompleteEnd(group);
  if (complete.kind === 'unproven') return waitFor(group, complete.missing);
  const candidates = group.members.filter(member => {
    return canPrimaryStay || member.instance !== group.primary;
  });
  const {end} = complete;
  const isLossPossible = complete.kind === 'lost';
  const successor = pickBest(candidates, end, group.primary);
  if (successor?.received) {
    const {instance, received, isLeader, term} = successor;
    const leadTerm = isLeader ? term : newestTerm(group) + 1;
    return {
      kind: 'promote',
      instance,
      end: received,
      leadTerm,
      isLossPossible,
    };
  }
  if (candidates.every(({received}) => !received)) {
    return {
      kind: 'wait',
      reason: 'no replica replied',
      until: 'a replica replies',
    };
  }
  const position = formatPosition(end);
  return {
    kind: 'wait',
    reason: `no replica has received the log up to ${position}`,
    until: `a replica receives ${position}`,
  };
}

function newestTerm({members, baseline}: GroupLogs): number {
  const terms = members.map(({term}) => term);
  return Math.max(baseline.term, baseline.primaryTerm - 1, ...terms);
}

function waitFor(
  {primary, baseline}: GroupLogs,
  missing: readonly string[],
): SuccessorChoice {
  const {primaryAddress, primaryLeft} = baseline;
  const primaryReturns = `the log of ${primary} returns at ${primaryAddress}`;
  if (missing.length === 0) {
    const position = formatPosition(baseline);
    const reason = `no replica has received the log up to ${position}`;
    return {kind: 'wait', reason, until: primaryReturns};
  }
  const former = baseline.former.map(({instance}) => instance);
  const silent = missing.filter(instance => !former.includes(instance));
  const replies = silent.map(instance => `${instance} replies`).join(' and ');
  // Replies alone are enough if no former member is missing, or if the primary
  // cannot come back with what it confirmed.
  const until = [
    ...(former.length === 0 || primaryLeft ? [replies] : []),
    ...(primaryLeft ? [] : [primaryReturns]),
  ];
  return {
    kind: 'wait',
    reason: `no complete log from ${missing.join(' ')}`,
    until: until.join(' or '),
  };
}

/**
 * The best member whose log reaches the end: the current leader, then the one
 * with the longest log. Among equals, a member that stays is preferred.
 */
function pickBest(
  members: readonly MemberLog[],
  end: Position,
  primary: string,
): MemberLog | undefined {
  const complete = members.filter(({received}) => {
    return received && comparePositions(received, end) >= 0;
  });
  return complete.sort((a, b) => {
    return (
      Number(staysLeader(b)) - Number(staysLeader(a)) ||
      Number(a.instance === primary) - Number(b.instance === primary) ||
      comparePositions(b.received!, a.received!) ||
      Number(a.draining) - Number(b.draining)
    );
  })[0];
}

function staysLeader({isLeader, draining}: MemberLog): boolean {
  return isLeader && !draining;
}

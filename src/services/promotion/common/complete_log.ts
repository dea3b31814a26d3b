import type {LogBaseline} from '../../../schema/generated/fleet';
import {
  comparePositions,
  laterPosition,
  ORIGIN_POSITION,
  type Position,
} from '../../position/common/position';

/** One member and its log, as it reported it in this attempt. */
export interface MemberLog {
  readonly instance: string;
  readonly address: string;
  /** Its incarnation; 0 if unknown. */
  readonly born: number;
  readonly draining: boolean;
  /** End of its log; undefined if it did not reply, or if its log may grow. */
  readonly received: Position | undefined;
  /** It reports that it is the primary, of the newest term that was reported. */
  readonly isLeader: boolean;
  /** The term that it reported; 0 if it did not reply. */
  readonly term: number;
  /** It may have restarted since its last announcement. */
  readonly isUncertain: boolean;
}

/** What control knows about the logs of a service. */
export interface GroupLogs {
  /** How many replicas receive a commit before it is acknowledged. */
  readonly confirmations: number;
  /** Instance of the assigned primary. */
  readonly primary: string;
  /** The last position that the assigned primary was seen to hold. */
  readonly primaryLastSeen: Position;
  readonly baseline: LogBaseline;
  /** All members, among them the assigned primary unless it has ended. */
  readonly members: readonly MemberLog[];
}

/** A log with this end or a later one holds every acknowledged commit. */
export type CompleteEnd =
  | {readonly kind: 'proven'; readonly end: Position}
  /** Nobody can come back who held the rest. */
  | {readonly kind: 'lost'; readonly end: Position}
  | {
      readonly kind: 'unproven';
      /** Members whose logs would prove it. */
      readonly missing: readonly string[];
    };

/**
 * Finds the end of a log that holds every acknowledged commit.
 *
 * A commit is acknowledged once the primary and a replica have it. So it is in
 * the log of the primary, and either before the baseline or in the log of a
 * replica that was a member since the primary was assigned. A log is complete if
 *
 * - it reaches the end of the log of the primary, or of the incarnation that
 *   continues it, or
 * - it reaches the baseline and the end of the log of each replica, and each
 *   replica is known: all members replied after they stopped receiving, and the
 *   baseline accounts for all former members.
 */
export function findCompleteEnd(group: GroupLogs): CompleteEnd {
  const {confirmations, baseline} = group;
  const longest = longestLog(group);
  if (confirmations === 0) return {kind: 'proven', end: longest};
  const primaryEnd = findPrimaryEnd(group);
  if (primaryEnd) return {kind: 'proven', end: primaryEnd};
  const silent = group.members
    .filter(member => member.instance !== group.primary)
    .filter(({received, isUncertain}) => !received || isUncertain);
  const former = baseline.former.map(({instance}) => instance);
  const missing = [...silent.map(({instance}) => instance), ...former];
  const isAccountedFor = missing.length < confirmations;
  const isReached = comparePositions(longest, baseline) >= 0;
  if (isAccountedFor && isReached) return {kind: 'proven', end: longest};
  if (silent.length === 0 && isPrimaryLogLost(group)) {
    return {kind: 'lost', end: longest};
  }
  return {kind: 'unproven', missing: isAccountedFor ? [] : missing};
}

/** The end of the longest log that was reported. */
function longestLog({members}: GroupLogs): Position {
  return members
    .map(({received}) => received ?? ORIGIN_POSITION)
    .reduce(laterPosition, ORIGIN_POSITION);
}

/** The end of the primary's log, if a member continues it. */
function findPrimaryEnd(group: GroupLogs): Position | undefined {
  // Guard: a primary that restarted with an empty log, or a member that took
  // its address without its log, would stand for all that it acknowledged.
  const lowest = [longestLog(group), group.baseline, group.primaryLastSeen];
  return group.members
    .filter(member => !member.isUncertain && continuesPrimary(member, group))
    .map(({received}) => received)
    .find(received => {
      return (
        received && lowest.every(end => comparePositions(received, end) >= 0)
      );
    });
}

/** Whether a member has the log of the assigned primary, if it has any. */
function continuesPrimary(
  member: MemberLog,
  {primary, baseline, members}: GroupLogs,
): boolean {
  if (member.instance === primary) return hasChosenLog(member, baseline);
  // Guard: a deposed primary that did not hear of its successor still leads its
  // own term, and lacks what the successor acknowledged.
  if (member.isLeader && member.term >= baseline.primaryTerm) return true;
  const hasMoved = members.some(({instance, address}) => {
    return instance === primary && address !== baseline.primaryAddress;
  });
  return !hasMoved && member.address === baseline.primaryAddress;
}

/** Whether the assigned primary still has the log that it was chosen for. */
export function hasChosenLog(
  {born}: Pick<MemberLog, 'born'>,
  {primaryAddress, primaryBorn}: LogBaseline,
): boolean {
  const isRecorded = primaryAddress !== '';
  return !isRecorded || born === primaryBorn;
}

/** Whether the log of the assigned primary cannot come back. */
function isPrimaryLogLost({primary, baseline, members}: GroupLogs): boolean {
  const current = members.find(({instance}) => instance === primary);
  if (current) {
    return !!current.received && !hasChosenLog(current, baseline);
  }
  const hasSuccessor = members.some(({address, received}) => {
    return received && address === baseline.primaryAddress;
  });
  return baseline.primaryLeft || hasSuccessor;
}

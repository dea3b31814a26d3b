import type {Position} from '../../position/common/position';

/** The state of one member, as far as the choice for a read depends on it. */
export interface MemberView {
  readonly instance: string;
  readonly isPrimary: boolean;
  readonly isDraining: boolean;
  /** Unreachable, and without an idle connection of the user. */
  readonly isFailing: boolean;
  /** Transactions that this instance runs on the member. */
  readonly runningCount: number;
  readonly slots: number;
  /** Smoothed response time, including the round trip. */
  readonly latencyMs: number;
  /** Whether a connection is idle or may be opened. */
  readonly isAvailable: boolean;
  /** No connection of the account is idle; one has to be opened first. */
  readonly needsConnect: boolean;
  /** How far behind the primary it was recently; 0 if unknown. */
  readonly lagMs: number;
  readonly isSameRegion: boolean;
}

/** Which members may serve a read. */
export interface ReadMemberRequirement {
  /** Undefined if only the primary is known to be fresh enough. */
  readonly minPosition: Position | undefined;
  /** How far behind a replica may be and still hold that position. */
  readonly maxLagMs: number;
  /** Members that already failed to serve this request. */
  readonly triedInstances: ReadonlySet<string>;
}

/** The cost of traffic between regions, expressed as time. */
const OTHER_REGION_PENALTY_MS = 25;
/** Leaves the primary's slots to writes while a replica is as fast. */
const PRIMARY_PENALTY_MS = 15;
/** A new connection takes part of a slot and two round trips. */
const CONNECT_PENALTY_MS = 20;

/**
 * Returns the available member with the lowest expected cost for a read, or
 * undefined if there is none.
 */
export function chooseReadMember(
  members: readonly MemberView[],
  requirement: ReadMemberRequirement,
): MemberView | undefined {
  let best: MemberView | undefined;
  let lowestCost = Infinity;
  for (const member of members) {
    if (!canServe(member, requirement)) continue;
    const cost = computeCost(member);
    if (cost >= lowestCost) continue;
    best = member;
    lowestCost = cost;
  }
  return best;
}

function canServe(
  member: MemberView,
  requirement: ReadMemberRequirement,
): boolean {
  const {minPosition, maxLagMs, triedInstances} = requirement;
  if (!member.isAvailable || member.isDraining || member.isFailing) {
    return false;
  }
  if (triedInstances.has(member.instance)) return false;
  if (member.isPrimary) return true;
  return minPosition !== undefined && member.lagMs <= maxLagMs;
}

function computeCost(member: MemberView): number {
  const load = (member.runningCount + 1) / Math.max(1, member.slots);
  const regionMs = member.isSameRegion ? 0 : OTHER_REGION_PENALTY_MS;
  const roleMs = member.isPrimary ? PRIMARY_PENALTY_MS : 0;
  const connectMs = member.needsConnect ? CONNECT_PENALTY_MS : 0;
  return member.latencyMs * Math.max(1, load) + regionMs + roleMs + connectMs;
}

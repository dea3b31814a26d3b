import type {Position} from '../../position/common/position';

/** What a choice needs to know of one member. */
export interface MemberView {
  readonly instance: string;
  readonly isPrimary: boolean;
  readonly isDraining: boolean;
  /** Fails or is silent at present. */
  readonly isFailing: boolean;
  /** Transactions of this instance that are on the member now. */
  readonly runningCount: number;
  readonly slots: number;
  /** Smoothed time of an answer with its way, in milliseconds. */
  readonly latencyMs: number;
  /** Whether a connection is free, or one may be opened. */
  readonly isAvailable: boolean;
  /** No connection of the account is free: one has to be opened first. */
  readonly needsConnect: boolean;
  /** How far behind it was seen lately, in milliseconds. */
  readonly lagMs: number;
  readonly isSameRegion: boolean;
}

/** What a read may accept. */
export interface ReadMemberRequirement {
  /** Undefined where only the primary can tell what is new enough. */
  readonly minPosition: Position | undefined;
  /** How far behind a replica may be to hold that, in milliseconds. */
  readonly maxLagMs: number;
  /** Members that did not serve this request before. */
  readonly triedInstances: ReadonlySet<string>;
}

/**
 * A replica answers in 4 to 170 ms here and a way between regions takes 24 to
 * 40 ms both ways; what a read from another region costs in bytes is weighed
 * as so much more time.
 */
const FAR_PENALTY_MS = 25;
/** Reads leave the primary's slots to writes while a replica is as quick. */
const PRIMARY_PENALTY_MS = 15;
/** An opening takes 12 to 27 ms of a slot, and two ways. */
const OPENING_PENALTY_MS = 20;

/**
 * The member with the least expected time for a read, or undefined where none
 * that may serve it has room.
 */
export function chooseReadMember(
  members: readonly MemberView[],
  need: ReadMemberRequirement,
): MemberView | undefined {
  let best: MemberView | undefined;
  let least = Infinity;
  for (const member of members) {
    if (!mayRead(member, need)) continue;
    const cost = costOf(member);
    if (cost >= least) continue;
    best = member;
    least = cost;
  }
  return best;
}

function mayRead(member: MemberView, need: ReadMemberRequirement): boolean {
  const {minPosition, maxLagMs, triedInstances} = need;
  if (!member.isAvailable || member.isDraining || member.isFailing) {
    return false;
  }
  if (triedInstances.has(member.instance)) return false;
  if (member.isPrimary) return true;
  return minPosition !== undefined && member.lagMs <= maxLagMs;
}

function costOf(member: MemberView): number {
  const load = (member.runningCount + 1) / Math.max(1, member.slots);
  const far = member.isSameRegion ? 0 : FAR_PENALTY_MS;
  const lead = member.isPrimary ? PRIMARY_PENALTY_MS : 0;
  const opening = member.needsConnect ? OPENING_PENALTY_MS : 0;
  return member.latencyMs * Math.max(1, load) + far + lead + opening;
}

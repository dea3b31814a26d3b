/** What decides how many connections to a member an instance may hold. */
export interface ShareInputs {
  /** Connections to the member that all instances together may have. */
  readonly usableCount: number;
  /** The same for each instance; may be below 1. */
  readonly equalShare: number;
  /** How long this instance has had the service, in milliseconds. */
  readonly ageMs: number;
}

/** The instances that share the connections of a service. */
export interface ConnectionPeers {
  readonly instanceCount: number;
  /** Those of this instance's region; 0 where regions do not matter. */
  readonly sameRegionCount: number;
  /** Others keep the connections; this instance is none of them. */
  readonly isPooledElsewhere: boolean;
}

/**
 * Where work of an account goes to one instance of the region in which it is
 * done, instances of other regions need connections to a member only when it
 * stands in for others; they get what is left.
 */
const NEAR_PART = 0.8;

/** Connections to one member for each instance; may be below 1. */
export function computeEqualShare(
  shared: number,
  {
    instanceCount,
    sameRegionCount,
  }: Pick<ConnectionPeers, 'instanceCount' | 'sameRegionCount'>,
  isNear: boolean,
): number {
  const far = instanceCount - sameRegionCount;
  if (sameRegionCount === 0 || far === 0) {
    return shared / Math.max(1, instanceCount);
  }
  return isNear
    ? (shared * NEAR_PART) / sameRegionCount
    : (shared * (1 - NEAR_PART)) / far;
}

/** More connections than the equal share, where others rest. */
const SHARE_FACTOR = 3;
/**
 * A share that mostly suffices is exceeded by half only: poolers near a primary
 * would else take all its connections, and those of other regions could use
 * none of its slots. Five serve 90 statements a second over 40 ms and the work;
 * transactions that rest hold some of them.
 */
const AMPLE_SHARE = 5;
const AMPLE_FACTOR = 1.5;
/**
 * Members count the connections of processes that lost power for 3 s, and a
 * fleet that lost power together has its services again some 2 s after the
 * loss. Until then an instance takes half of its share, in milliseconds: nine
 * instances before 16 connections, 14 of them of the dead, else left all that
 * was free to the two that asked first.
 */
const RESTART_MS = 1_500;
const RESTART_PART = 0.5;

/** Connections that an instance may have to one member. */
export function computeConnectionLimit({
  usableCount,
  equalShare,
  ageMs,
}: ShareInputs): number {
  if (ageMs < RESTART_MS) {
    return Math.max(1, Math.floor(equalShare * RESTART_PART));
  }
  const share = Math.max(1, Math.floor(equalShare));
  const factor = share >= AMPLE_SHARE ? AMPLE_FACTOR : SHARE_FACTOR;
  return Math.min(usableCount, Math.floor(share * factor));
}

/** What decides whether a connection to a member is kept without work. */
export interface IdleView {
  /** Connections belong to accounts: one kept for nobody serves nobody. */
  readonly servesAccounts: boolean;
  readonly equalShare: number;
  readonly isPrimary: boolean;
  readonly isSameRegion: boolean;
}

/**
 * Whether one connection to a member is kept while it has no work. All work may
 * need the primary at once, and reads go to replicas of the own region; one of
 * another region is opened where it is needed. Nine instances else held 11 of
 * 16 connections of replicas that ran half a statement at a time, and after a
 * common restart those of the dead processes left little room.
 */
export function keepsIdleConnection(view: IdleView): boolean {
  if (view.servesAccounts || view.equalShare < 1) return false;
  return view.isPrimary || view.isSameRegion;
}

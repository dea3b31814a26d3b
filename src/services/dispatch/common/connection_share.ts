/** The inputs of an instance's connection limit for a member. */
export interface ShareInputs {
  /** Connections to the member that all instances together may use. */
  readonly usableCount: number;
  /** This instance's equal share of them; may be below 1. */
  readonly equalShare: number;
  /** How long this instance has known the service. */
  readonly ageMs: number;
}

/** The instances that share the connections to a service's members. */
export interface ConnectionPeers {
  readonly instanceCount: number;
  /** Those in this instance's region; 0 if regions are ignored. */
  readonly sameRegionCount: number;
  /** Only poolers keep connections, and this instance is not one. */
  readonly isPooledElsewhere: boolean;
}

/**
 * An account's requests go to an instance in the region that serves them, so
 * instances in other regions need few connections to a member.
 */
const SAME_REGION_FRACTION = 0.8;

/** Returns an instance's equal share of a member; may be below 1. */
export function computeEqualShare(
  usableCount: number,
  {
    instanceCount,
    sameRegionCount,
  }: Pick<ConnectionPeers, 'instanceCount' | 'sameRegionCount'>,
  isSameRegion: boolean,
): number {
  const otherRegionCount = instanceCount - sameRegionCount;
  if (sameRegionCount === 0 || otherRegionCount === 0) {
    return usableCount / Math.max(1, instanceCount);
  }
  return isSameRegion
    ? (usableCount * SAME_REGION_FRACTION) / sameRegionCount
    : (usableCount * (1 - SAME_REGION_FRACTION)) / otherRegionCount;
}

/** Instances may exceed their equal share, since most others are idle. */
const SHARE_FACTOR = 3;
/**
 * An ample share may be exceeded by less. Otherwise poolers near a primary
 * could take all its connections and leave no slots to other regions. It is
 * more than the statements need, because idle transactions hold some of it.
 */
const AMPLE_SHARE = 5;
const AMPLE_FACTOR = 1.5;
/**
 * After a common power loss, members still count the connections of the crashed
 * processes. New processes take less than their share until those time out.
 */
const RESTART_GRACE_MS = 1_500;
const RESTART_SHARE_FRACTION = 0.5;

/** Returns the connections that an instance may have to one member. */
export function computeConnectionLimit({
  usableCount,
  equalShare,
  ageMs,
}: ShareInputs): number {
  if (ageMs < RESTART_GRACE_MS) {
    return Math.max(1, Math.floor(equalShare * RESTART_SHARE_FRACTION));
  }
  const share = Math.max(1, Math.floor(equalShare));
  const factor = share >= AMPLE_SHARE ? AMPLE_FACTOR : SHARE_FACTOR;
  return Math.min(usableCount, Math.floor(share * factor));
}

/** The inputs of the decision to keep an idle connection to a member. */
export interface IdleView {
  /** Connections belong to accounts; an unused one helps no other. */
  readonly servesAccounts: boolean;
  readonly equalShare: number;
  readonly isPrimary: boolean;
  readonly isSameRegion: boolean;
}

/**
 * Whether to keep one idle connection to a member. Any request may need the
 * primary, and reads prefer replicas in the same region; other replicas are
 * connected on demand. After a common restart, idle connections of the crashed
 * processes would leave little room at the members.
 */
export function keepsIdleConnection(view: IdleView): boolean {
  if (view.servesAccounts || view.equalShare < 1) return false;
  return view.isPrimary || view.isSameRegion;
}

import type {MemberStatus} from '../../target_link/common/member_status';

/** Why a replica is stopped. */
export type StopReason = 'promotion' | 'leaving';

const TERMS_ABOVE_NEWEST: Readonly<Record<StopReason, number>> = {
  promotion: 1,
  // Another term, as the status of a replica tells nothing but the term.
  leaving: 2,
};

/** The term at which replicas of a group are stopped. */
export function stopTermOf(reason: StopReason, newestTerm: number): number {
  return newestTerm + TERMS_ABOVE_NEWEST[reason];
}

/**
 * Whether the replicas of a primary show that no promotion had compared their
 * logs when they were asked.
 *
 * Before logs are compared, every replica that counts is stopped, and stays so
 * until the promotion has taken effect. So one that receives is needed, and
 * none may be stopped, but for those that leave: they are stopped anyway.
 */
export function showNoPromotion(
  replicas: readonly MemberStatus[],
  primaryTerm: number,
): boolean {
  const leavingTerm = stopTermOf('leaving', primaryTerm);
  const isReceiving = replicas.some(({stoppedTerm}) => stoppedTerm === 0);
  const isAnyStopped = replicas.some(({stoppedTerm}) => {
    return stoppedTerm !== 0 && stoppedTerm !== leavingTerm;
  });
  return isReceiving && !isAnyStopped;
}

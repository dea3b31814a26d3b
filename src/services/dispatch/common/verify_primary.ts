import type {MemberStatus} from '../../target_link/common/member_status';

/** One member's reply to a status request; undefined if it did not reply. */
export interface MemberStatusReply {
  readonly instance: string;
  readonly status: MemberStatus | undefined;
}

/**
 * Returns the status of a member if the replies of all members verify that it
 * was not replaced before the requests were sent.
 *
 * A promoted member is primary in a higher term. So the member must report that
 * it is primary, and every other member that it is a replica in no higher term.
 * A member that does not reply may be the new primary.
 */
export function verifyPrimary(
  instance: string,
  replies: readonly MemberStatusReply[],
): MemberStatus | undefined {
  const claimed = replies.find(reply => reply.instance === instance)?.status;
  if (!claimed?.isPrimary) return undefined;
  const others = replies.filter(reply => reply.instance !== instance);
  // No other member can verify a single one.
  if (others.length === 0) return undefined;
  const isVerified = others.every(({status}) => {
    return status && !status.isPrimary && status.term <= claimed.term;
  });
  return isVerified ? claimed : undefined;
}

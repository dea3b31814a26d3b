import {showNoPromotion} from '../../promotion/common/stopped_replicas';
import type {MemberStatus} from '../../target_link/common/member_status';

/** One member's reply to a status request; undefined if it did not reply. */
export interface MemberStatusReply {
  readonly instance: string;
  readonly status: MemberStatus | undefined;
}

/**
 * Returns the status of a member if the replies of all members verify that it
 * was not replaced before the requests were sent, and that no promotion is
 * under way that had compared the logs by then.
 *
 * A promoted member is primary in a higher term. So the member must report that
 * it is primary, and every other member that it is a replica in no higher term.
 * A member that does not reply may be the new primary. Members that joined
 * since and are not known here do not matter, as the known ones are stopped for
 * a promotion, too.
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
  const replicas: MemberStatus[] = [];
  for (const {status} of others) {
    const isReplica =
      status && !status.isPrimary && status.term <= claimed.term;
    if (!isReplica) return undefined;
    replicas.push(status);
  }
  return showNoPromotion(replicas, claimed.term) ? claimed : undefined;
}

import type {MemberStatus} from '../../target_link/common/member_status';

/** What one member answered in a round of questions; undefined for nothing. */
export interface MemberStatusReply {
  readonly instance: string;
  readonly status: MemberStatus | undefined;
}

/**
 * The status of a member where the words of all members prove that nobody took
 * its place before they were asked.
 *
 * A member that was promoted leads a higher term from that moment on, and says
 * so. So a lead is proved by its holder, which leads, and by every other
 * member, each of which follows a term that is not higher. One word that is
 * missing may be that of the new leader.
 */
export function verifyPrimary(
  instance: string,
  words: readonly MemberStatusReply[],
): MemberStatus | undefined {
  const lead = words.find(word => word.instance === instance)?.status;
  if (!lead?.isPrimary) return undefined;
  const others = words.filter(word => word.instance !== instance);
  // A lone member has nobody to be replaced by that could bear witness.
  if (others.length === 0) return undefined;
  const isProved = others.every(({status}) => {
    return status && !status.isPrimary && status.term <= lead.term;
  });
  return isProved ? lead : undefined;
}

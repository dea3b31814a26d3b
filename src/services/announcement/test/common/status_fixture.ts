import {
  Role,
  type TargetStatus,
} from '../../../../schema/generated/announcement';

/** Status of a replica that has caught up with the primary of a term. */
export function replicaStatus(
  term: number,
  offset: number,
  parts: Partial<TargetStatus> = {},
): TargetStatus {
  return {
    service: 's',
    instance: 'r1',
    site: '',
    address: '',
    replicationAddress: '',
    incarnation: '1',
    role: Role.ROLE_REPLICA,
    term,
    matchedTerm: term,
    logTerm: term,
    received: {term, offset},
    appliedOffset: offset,
    upstreamConnected: true,
    leaving: false,
    ...parts,
  };
}

import type {
  ConsensusMessage,
  VoteRequest,
} from '../../../schema/generated/consensus';

/** State of a voter that receives a vote request. */
export interface VoterState {
  readonly term: number;
  /** Id of the candidate that it voted for in this term; '' for none. */
  readonly votedFor: string;
  /** Whether it is the leader or recently received a message of one. */
  readonly hasLeader: boolean;
  /** Whether the candidate's log is at least as up to date as its own. */
  readonly isUpToDate: boolean;
}

/** Reply to a vote request, and the term that it carries. */
export interface Vote {
  readonly granted: boolean;
  readonly term: number;
}

/** Decides on a vote request; a vote carries the term of the voter. */
export function decideVote(
  {from, term}: ConsensusMessage,
  {pre}: VoteRequest,
  voter: VoterState,
): Vote {
  // An instance that was partitioned and returns with a higher term must not
  // depose a leader that a majority follows.
  const refused = {granted: false, term: voter.term};
  if (voter.hasLeader || term < voter.term || !voter.isUpToDate) return refused;
  if (pre) {
    // Guard: a refusal carries the term of the voter. The requested term would
    // raise that of a candidate with an old log, which would then always be a
    // term ahead of the candidate that can win, and refuse it.
    return term > voter.term ? {granted: true, term} : refused;
  }
  const canVote = voter.votedFor === '' || voter.votedFor === from;
  return canVote ? {granted: true, term: voter.term} : refused;
}

import type {
  ConsensusMessage,
  VoteRequest,
} from '../../../schema/generated/consensus';

/** What a voter weighs a candidate's question against. */
export interface Voter {
  readonly term: number;
  /** Who has its vote of this term; '' for nobody. */
  readonly votedFor: string;
  /** It leads, or heard a leader lately. */
  readonly isSticky: boolean;
  /** The candidate's log holds all that its own log holds. */
  readonly isCovered: boolean;
}

/** A voter's answer, and the term that it carries. */
export interface Vote {
  readonly granted: boolean;
  readonly term: number;
}

/** Decides on a candidate's question; a real vote is of the voter's term. */
export function judgeVote(
  {from, term}: ConsensusMessage,
  {pre}: VoteRequest,
  voter: Voter,
): Vote {
  // Sticky leader: an instance that was cut off and returns with a higher
  // term cannot unseat a leader that the majority hears.
  const refused = {granted: false, term: voter.term};
  if (voter.isSticky || term < voter.term || !voter.isCovered) return refused;
  if (pre) {
    // Guard: a refusal carries the voter's own term. With the term that was
    // asked for it raised that of whoever asked: one with an old log was then
    // always a term ahead of the one that could win, and refused it in turn.
    return term > voter.term ? {granted: true, term} : refused;
  }
  const isFree = voter.votedFor === '' || voter.votedFor === from;
  return isFree ? {granted: true, term: voter.term} : refused;
}

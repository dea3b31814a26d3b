import {isJoint, isVoter} from '../../consensus/common/configuration';
import type {Consensus} from '../../consensus/common/consensus';

/** The part of the consensus core that tells who votes. */
export type VotingCore = Pick<
  Consensus,
  'id' | 'configuration' | 'isConfigurationCommitted'
>;

/**
 * Whether an instance that stops still counts, while a learner may take its
 * vote. It counts until the change is complete and committed: before that, the
 * others might need it to complete the change.
 */
export function hasVoteToHandOver({
  id,
  configuration,
  isConfigurationCommitted,
}: VotingCore): boolean {
  if (!isVoter(configuration, id)) return !isConfigurationCommitted;
  const hasLearner = configuration.peers.some(({voter}) => !voter);
  return isJoint(configuration) || hasLearner;
}

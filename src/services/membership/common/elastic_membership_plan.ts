import type {Configuration, Peer} from '../../../schema/generated/consensus';
import {
  isCaughtUp,
  instanceOf,
  addLearner,
  type Joiner,
} from './membership_plan';

/** A voter that was silent for this long is replaced, in milliseconds. */
const LOST_AFTER_MS = 8_000;

/** What a plan for a group without a fixed list is made from. */
export interface ElasticMembershipView {
  readonly configuration: Configuration;
  readonly joiners: readonly Joiner[];
  /** Voters that the group should have. */
  readonly desiredVoterCount: number;
  readonly commitIndex: number;
  matchIndexOf(id: string): number;
  /** For how long the leader has not heard a peer, in milliseconds. */
  silentMsOf(id: string): number;
}

/**
 * The next single change of a control group whose instances nobody lists, or
 * undefined.
 *
 * Whoever asks becomes a learner. One that has caught up becomes a voter where
 * one is missing, or takes the place of a voter whose data folder is lost (a
 * new incarnation at its address) or that was silent for long. An instance
 * that forgot its vote thus never counts before it holds the log.
 */
export function planElasticMembership(
  view: ElasticMembershipView,
): Configuration | undefined {
  const {peers} = view.configuration;
  for (const joiner of view.joiners) {
    const next = addLearner(peers, joiner);
    if (next) return {peers: next};
  }
  const learners = peers.filter(peer => isCaughtUp(view, peer));
  const voters = peers.filter(peer => peer.voter);
  const [learner] = learners;
  if (!learner) return undefined;
  if (voters.length < view.desiredVoterCount) return promote(peers, learner);
  const replaced = voters.find(voter => isReplaced(view, voter, learners));
  return replaced && {peers: peers.filter(peer => peer !== replaced)};
}

function promote(peers: readonly Peer[], learner: Peer): Configuration {
  return {
    peers: peers.map(peer => {
      return peer === learner ? {...peer, voter: true} : peer;
    }),
  };
}

function isReplaced(
  view: ElasticMembershipView,
  voter: Peer,
  learners: readonly Peer[],
): boolean {
  const isSuperseded = learners.some(learner => {
    return instanceOf(learner.id) === instanceOf(voter.id);
  });
  return isSuperseded || view.silentMsOf(voter.id) >= LOST_AFTER_MS;
}

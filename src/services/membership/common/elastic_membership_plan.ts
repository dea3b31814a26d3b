import type {Configuration, Peer} from '../../../schema/generated/consensus';
import {
  isCaughtUp,
  instanceOf,
  addLearner,
  type Joiner,
} from './membership_plan';

/** Silence after which a voter is replaced. */
const REPLACE_SILENT_AFTER_MS = 8_000;

/** The state of a control group without a fixed list of members. */
export interface ElasticMembershipView {
  readonly configuration: Configuration;
  readonly joiners: readonly Joiner[];
  /** Number of voters that the group should have. */
  readonly desiredVoterCount: number;
  readonly commitIndex: number;
  matchIndexOf(id: string): number;
  /** Time since the leader last heard from a peer, in milliseconds. */
  silentMsOf(id: string): number;
}

/**
 * The next single change of a control group without a fixed list of members;
 * undefined if there is none.
 *
 * Every instance that joins becomes a learner. A learner that has caught up
 * becomes a voter if one is missing, or replaces a voter that lost its data
 * folder (a new incarnation at the same address) or is silent for long. An
 * instance without its log thus never votes.
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
  const replaced = voters.find(voter => isReplaceable(view, voter, learners));
  return replaced && {peers: peers.filter(peer => peer !== replaced)};
}

function promote(peers: readonly Peer[], learner: Peer): Configuration {
  return {
    peers: peers.map(peer => {
      return peer === learner ? {...peer, voter: true} : peer;
    }),
  };
}

function isReplaceable(
  view: ElasticMembershipView,
  voter: Peer,
  learners: readonly Peer[],
): boolean {
  const isSuperseded = learners.some(learner => {
    return instanceOf(learner.id) === instanceOf(voter.id);
  });
  return isSuperseded || view.silentMsOf(voter.id) >= REPLACE_SILENT_AFTER_MS;
}

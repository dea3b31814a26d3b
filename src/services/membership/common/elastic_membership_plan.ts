import type {Configuration, Peer} from '../../../schema/generated/consensus';
import {
  completeReplacement,
  hasMajority,
  isJoint,
  makeConfiguration,
  replaceVoter,
} from '../../consensus/common/configuration';
import {
  addLearners,
  instanceOf,
  isCaughtUp,
  promote,
  type Joiner,
} from './membership_plan';

/** Silence after which a learner is dropped; it joins again if it returns. */
const DROP_SILENT_LEARNER_AFTER_MS = 30_000;

/** The state of a control group without a fixed list of members. */
export interface ElasticMembershipView {
  readonly configuration: Configuration;
  readonly joiners: readonly Joiner[];
  /** Number of voters that the group should have. */
  readonly desiredVoterCount: number;
  /** Silence after which a voter is replaced, in milliseconds. */
  readonly replaceSilentAfterMs: number;
  readonly commitIndex: number;
  matchIndexOf(id: string): number;
  /** Time since the leader last heard from a peer, in milliseconds. */
  silentMsOf(id: string): number;
  /** Whether a peer asked to hand over its vote because it stops. */
  isLeaving(id: string): boolean;
}

/**
 * The next change of a control group without a fixed list of members;
 * undefined if there is none.
 *
 * Every instance that joins becomes a learner. A learner that has caught up
 * becomes a voter if one is missing, or replaces a voter that lost its data
 * folder (a new incarnation at the same address), is silent or stops. An
 * instance without its log thus never votes.
 */
export function planElasticMembership(
  view: ElasticMembershipView,
): Configuration | undefined {
  const {configuration, joiners, desiredVoterCount} = view;
  if (isJoint(configuration)) {
    return completeReplacement(configuration, id => view.isLeaving(id));
  }
  const {peers} = configuration;
  const joined = addLearners(peers, joiners);
  if (joined) return makeConfiguration(joined);
  const lost = peers.find(peer => isLostLearner(view, peer));
  if (lost) return makeConfiguration(peers.filter(peer => peer !== lost));
  const learners = peers.filter(peer => canTakeVote(view, peer));
  const [learner] = learners;
  if (!learner) return undefined;
  const voters = peers.filter(peer => peer.voter);
  if (voters.length < desiredVoterCount) return promote(peers, learner);
  // A leader that was suspended has not heard from anybody.
  if (!hasMajority(configuration, responsiveIds(view))) return undefined;
  return replaceLostVoter(view, voters, learners);
}

function replaceLostVoter(
  view: ElasticMembershipView,
  voters: readonly Peer[],
  learners: readonly Peer[],
): Configuration | undefined {
  for (const voter of voters) {
    const successor = learners.find(learner => {
      return instanceOf(learner.id) === instanceOf(voter.id);
    });
    if (successor) return replaceVoter(view.configuration, voter, successor);
  }
  const replaced =
    voters.find(voter => !isResponsive(view, voter)) ??
    voters.find(({id}) => view.isLeaving(id));
  return replaced && replaceVoter(view.configuration, replaced, learners[0]!);
}

function canTakeVote(view: ElasticMembershipView, peer: Peer): boolean {
  const isStaying = isResponsive(view, peer) && !view.isLeaving(peer.id);
  return isStaying && isCaughtUp(view, peer);
}

function responsiveIds(view: ElasticMembershipView): Set<string> {
  const peers = view.configuration.peers.filter(peer => {
    return isResponsive(view, peer);
  });
  return new Set(peers.map(({id}) => id));
}

function isResponsive(view: ElasticMembershipView, {id}: Peer): boolean {
  return view.silentMsOf(id) < view.replaceSilentAfterMs;
}

function isLostLearner(view: ElasticMembershipView, {id, voter}: Peer) {
  return !voter && view.silentMsOf(id) >= DROP_SILENT_LEARNER_AFTER_MS;
}

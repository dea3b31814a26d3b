import type {Configuration, Peer} from '../../../schema/generated/consensus';
import {
  completeReplacement,
  isJoint,
  makeConfiguration,
  replaceVoter,
} from '../../consensus/common/configuration';

/** Maximum lag behind the commit index at which a learner becomes a voter. */
const MAX_LEARNER_LAG_ENTRIES = 16;

/** A control instance that asks to join the group. */
export interface Joiner {
  readonly id: string;
  readonly address: string;
}

/** The state of a control group whose instances are listed in the settings. */
export interface MembershipView {
  readonly configuration: Configuration;
  /** Instances that are listed in the settings. */
  readonly allowedInstances: ReadonlySet<string>;
  readonly joiners: readonly Joiner[];
  readonly commitIndex: number;
  matchIndexOf(id: string): number;
}

/**
 * The next change of the control group; undefined if there is none.
 *
 * A joining instance becomes a learner. Once it has caught up, it replaces the
 * voter of the same instance, whose data folder was lost. An empty log thus
 * never counts towards a majority, and a second loss during a repair stalls the
 * group instead of forking it.
 */
export function planMembership(
  view: MembershipView,
): Configuration | undefined {
  const {configuration, allowedInstances} = view;
  if (isJoint(configuration)) return completeReplacement(configuration);
  const {peers} = configuration;
  const joiners = view.joiners.filter(({id}) => {
    return allowedInstances.has(instanceOf(id));
  });
  const joined = addLearners(peers, joiners);
  if (joined) return makeConfiguration(joined);
  const learner = peers.find(peer => isCaughtUp(view, peer));
  if (!learner) return undefined;
  const replaced = peers.find(peer => isReplacedBy(peer, learner));
  if (replaced) return replaceVoter(configuration, replaced, learner);
  return promote(peers, learner);
}

/** Makes a learner a voter. */
export function promote(peers: readonly Peer[], learner: Peer): Configuration {
  const promoted = peers.map(peer => {
    return peer === learner ? {...peer, voter: true} : peer;
  });
  return makeConfiguration(promoted);
}

/** The instance of a peer id; the part behind `#` is its incarnation. */
export function instanceOf(id: string): string {
  return id.split('#')[0]!;
}

/**
 * Returns the peers with all joining instances as learners; undefined if each
 * is a peer already.
 */
export function addLearners(
  peers: readonly Peer[],
  joiners: readonly Joiner[],
): Peer[] | undefined {
  let joined: Peer[] | undefined;
  for (const joiner of joiners) {
    joined = addLearner(joined ?? peers, joiner) ?? joined;
  }
  return joined;
}

/**
 * Returns the peers with the joining instance as a learner; undefined if it is
 * a peer already.
 */
function addLearner(
  peers: readonly Peer[],
  {id, address}: Joiner,
): Peer[] | undefined {
  const existing = peers.find(peer => peer.id === id);
  if (existing?.address === address) return undefined;
  if (existing) {
    return peers.map(peer => (peer === existing ? {...peer, address} : peer));
  }
  const otherPeers = peers.filter(peer => {
    return peer.voter || instanceOf(peer.id) !== instanceOf(id);
  });
  return [...otherPeers, {id, address, voter: false}];
}

/**
 * Whether a peer is a learner that has received nearly all committed entries.
 */
export function isCaughtUp(
  view: Pick<MembershipView, 'commitIndex' | 'matchIndexOf'>,
  peer: Peer,
): boolean {
  if (peer.voter) return false;
  const matchIndex = view.matchIndexOf(peer.id);
  const lag = view.commitIndex - matchIndex;
  return matchIndex > 0 && lag <= MAX_LEARNER_LAG_ENTRIES;
}

function isReplacedBy(peer: Peer, learner: Peer): boolean {
  return (
    peer.voter &&
    peer.id !== learner.id &&
    instanceOf(peer.id) === instanceOf(learner.id)
  );
}

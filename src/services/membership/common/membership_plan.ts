import type {Configuration, Peer} from '../../../schema/generated/consensus';

/** How many entries behind the commit a learner may be to become a voter. */
const CAUGHT_UP_ENTRIES = 16;

/** A control instance that asks to be taken in. */
export interface Joiner {
  readonly id: string;
  readonly address: string;
}

/** What a plan is made from. */
export interface MembershipView {
  readonly configuration: Configuration;
  /** Instances that the settings name. */
  readonly allowedInstances: ReadonlySet<string>;
  readonly joiners: readonly Joiner[];
  readonly commitIndex: number;
  matchIndexOf(id: string): number;
}

/**
 * The next single change of the control group, or undefined.
 *
 * A joiner is a learner first. Only once it has caught up does it take the
 * place of the voter of the same instance, whose data folder is lost: so a
 * repair never counts an empty log towards a majority, and a second loss
 * right after it stalls the group rather than forks it.
 */
export function planMembership(
  view: MembershipView,
): Configuration | undefined {
  const {peers} = view.configuration;
  for (const joiner of view.joiners) {
    if (!view.allowedInstances.has(instanceOf(joiner.id))) continue;
    const next = addLearner(peers, joiner);
    if (next) return {peers: next};
  }
  const learner = peers.find(peer => isCaughtUp(view, peer));
  if (!learner) return undefined;
  const replaced = peers.find(peer => isReplacedBy(peer, learner));
  if (replaced) return {peers: peers.filter(peer => peer !== replaced)};
  return {
    peers: peers.map(peer => {
      return peer === learner ? {...peer, voter: true} : peer;
    }),
  };
}

/** The instance that an id belongs to. */
export function instanceOf(id: string): string {
  return id.split('#')[0]!;
}

/** The peers with a joiner taken in as a learner; undefined if it is known. */
export function addLearner(
  peers: readonly Peer[],
  {id, address}: Joiner,
): Peer[] | undefined {
  const known = peers.find(peer => peer.id === id);
  if (known?.address === address) return undefined;
  if (known) {
    return peers.map(peer => (peer === known ? {...peer, address} : peer));
  }
  const kept = peers.filter(peer => {
    return peer.voter || instanceOf(peer.id) !== instanceOf(id);
  });
  return [...kept, {id, address, voter: false}];
}

/** Whether a learner holds nearly all that is committed. */
export function isCaughtUp(
  view: Pick<MembershipView, 'commitIndex' | 'matchIndexOf'>,
  peer: Peer,
): boolean {
  if (peer.voter) return false;
  const match = view.matchIndexOf(peer.id);
  const behind = view.commitIndex - match;
  return match > 0 && behind <= CAUGHT_UP_ENTRIES;
}

function isReplacedBy(peer: Peer, learner: Peer): boolean {
  return (
    peer.voter &&
    peer.id !== learner.id &&
    instanceOf(peer.id) === instanceOf(learner.id)
  );
}

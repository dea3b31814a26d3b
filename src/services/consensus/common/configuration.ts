import type {Configuration, Peer} from '../../../schema/generated/consensus';

/** A configuration in which a majority of the voters among the peers decides. */
export function makeConfiguration(peers: readonly Peer[]): Configuration {
  return {peers: [...peers], outgoingVoters: []};
}

/** Whether a change is under way that needs two majorities. */
export function isJoint({outgoingVoters}: Configuration): boolean {
  return outgoingVoters.length > 0;
}

/**
 * Begins to replace a voter by a learner. Until the change is completed, the
 * group decides by a majority of the old voters and one of the new voters. It
 * thus needs neither the replaced voter nor the new one before the other
 * voters hold the change, and tolerates what both groups tolerate.
 */
export function replaceVoter(
  {peers}: Configuration,
  replaced: Peer,
  learner: Peer,
): Configuration {
  return {
    peers: peers.map(peer => {
      if (peer.id === replaced.id) return {...peer, voter: false};
      return peer.id === learner.id ? {...peer, voter: true} : peer;
    }),
    outgoingVoters: peers.filter(({voter}) => voter).map(({id}) => id),
  };
}

/**
 * Completes a replacement. Peers that lost their vote by it are dropped, except
 * those that are to hear that it is complete.
 */
export function completeReplacement(
  {peers, outgoingVoters}: Configuration,
  isKept: (id: string) => boolean = () => false,
): Configuration {
  const kept = peers.filter(({id, voter}) => {
    return voter || !outgoingVoters.includes(id) || isKept(id);
  });
  return makeConfiguration(kept);
}

/** The highest value that enough voters have reached to decide. */
export function majorityValue(
  configuration: Configuration,
  valueOf: (id: string) => number,
): number {
  const values = voterSets(configuration).map(ids => {
    const sorted = ids.map(valueOf).sort((a, b) => b - a);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  });
  return Math.min(...values);
}

/** Whether a set of instances is enough to decide. */
export function hasMajority(
  configuration: Configuration,
  ids: ReadonlySet<string>,
): boolean {
  return voterSets(configuration).every(voters => {
    return voters.filter(id => ids.has(id)).length * 2 > voters.length;
  });
}

/**
 * Whether every majority before a change overlaps with every majority after it:
 * at most one voter is added or removed, or a replacement begins or completes.
 */
export function isSafeChange(
  before: Configuration,
  after: Configuration,
): boolean {
  const old = voterIds(before.peers);
  const next = voterIds(after.peers);
  if (next.length === 0) return false;
  if (isJoint(before)) return !isJoint(after) && isSameSet(old, next);
  if (isJoint(after)) return isSameSet(old, after.outgoingVoters);
  const added = next.filter(id => !old.includes(id)).length;
  const removed = old.filter(id => !next.includes(id)).length;
  return added + removed <= 1;
}

/** Whether an instance votes, also if it is being replaced. */
export function isVoter(
  {peers, outgoingVoters}: Configuration,
  id: string,
): boolean {
  return outgoingVoters.includes(id) || voterIds(peers).includes(id);
}

/** All peers except the one with this id. */
export function peersExcept(peers: readonly Peer[], id: string): Peer[] {
  return peers.filter(peer => peer.id !== id);
}

/** The sets of voters of each of which a majority is needed. */
function voterSets({peers, outgoingVoters}: Configuration): string[][] {
  const voters = voterIds(peers);
  return outgoingVoters.length > 0 ? [voters, outgoingVoters] : [voters];
}

function voterIds(peers: readonly Peer[]): string[] {
  return peers.filter(({voter}) => voter).map(({id}) => id);
}

function isSameSet(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every(id => b.includes(id));
}

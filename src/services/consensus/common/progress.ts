import type {Peer} from '../../../schema/generated/consensus';

/** What a leader knows of one peer. */
export interface PeerProgress {
  nextIndex: number;
  matchIndex: number;
  /** The newest heartbeat round that the peer answered. */
  round: number;
  /** When the peer last answered, on the leader's clock. */
  heardAt: number;
  /** When a snapshot was last sent, to send it once per heartbeat. */
  snapshotSentAt: number;
}

/** What a leader knows of all its peers. */
export class PeerTable {
  private readonly peers = new Map<string, PeerProgress>();

  get(id: string): PeerProgress | undefined {
    return this.peers.get(id);
  }

  /** Begins to follow a peer, counting it as heard of just now. */
  track(id: string, nextIndex: number, now: number): void {
    if (this.peers.has(id)) return;
    this.peers.set(id, {
      nextIndex,
      matchIndex: 0,
      round: 0,
      heardAt: now,
      snapshotSentAt: -Infinity,
    });
  }

  clear(): void {
    this.peers.clear();
  }

  /** For how long a peer has not answered, in milliseconds. */
  silenceOf(id: string, now: number): number {
    const peer = this.peers.get(id);
    return peer ? now - peer.heardAt : 0;
  }

  /** The peers that answered at or after a time. */
  heardSince(limit: number): Set<string> {
    const heard = [...this.peers].filter(([, peer]) => peer.heardAt >= limit);
    return new Set(heard.map(([id]) => id));
  }
}

/** The highest value that a majority of the voters has reached. */
export function majorityValue(
  peers: readonly Peer[],
  valueOf: (id: string) => number,
): number {
  const values = peers
    .filter(peer => peer.voter)
    .map(peer => valueOf(peer.id))
    .sort((a, b) => b - a);
  return values[Math.floor(values.length / 2)] ?? 0;
}

/** Whether more than half of the voters are in the set. */
export function hasMajority(
  peers: readonly Peer[],
  ids: ReadonlySet<string>,
): boolean {
  const voters = peers.filter(peer => peer.voter);
  const count = voters.filter(peer => ids.has(peer.id)).length;
  return count * 2 > voters.length;
}

/** Whether two configurations differ by at most one voter. */
export function isSingleChange(
  before: readonly Peer[],
  after: readonly Peer[],
): boolean {
  const old = voterIds(before);
  const next = voterIds(after);
  const added = [...next].filter(id => !old.has(id)).length;
  const removed = [...old].filter(id => !next.has(id)).length;
  return next.size > 0 && added + removed <= 1;
}

function voterIds(peers: readonly Peer[]): Set<string> {
  return new Set(peers.filter(peer => peer.voter).map(peer => peer.id));
}

/** Whether a peer votes in a configuration. */
export function isVoter(peers: readonly Peer[], id: string): boolean {
  return peers.some(peer => peer.id === id && peer.voter);
}

/** All peers but one. */
export function othersThan(peers: readonly Peer[], id: string): Peer[] {
  return peers.filter(peer => peer.id !== id);
}

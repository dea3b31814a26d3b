import type {Peer} from '../../../schema/generated/consensus';

/** Replication progress of one peer, as the leader sees it. */
export interface PeerProgress {
  nextIndex: number;
  matchIndex: number;
  /** The newest heartbeat round that the peer replied to. */
  round: number;
  /** When the peer last replied, on the leader's clock. */
  lastReplyAt: number;
  /** When a snapshot was last sent, to limit it to one per heartbeat. */
  snapshotSentAt: number;
}

/** Replication progress of all peers of a leader. */
export class PeerTable {
  private readonly peers = new Map<string, PeerProgress>();

  get(id: string): PeerProgress | undefined {
    return this.peers.get(id);
  }

  /** Adds a peer as if it had just replied, unless it is known. */
  track(id: string, nextIndex: number, now: number): void {
    if (this.peers.has(id)) return;
    this.peers.set(id, {
      nextIndex,
      matchIndex: 0,
      round: 0,
      lastReplyAt: now,
      snapshotSentAt: -Infinity,
    });
  }

  clear(): void {
    this.peers.clear();
  }

  /** Time since a peer last replied, in milliseconds; 0 if it is unknown. */
  silenceMsOf(id: string, now: number): number {
    const peer = this.peers.get(id);
    return peer ? now - peer.lastReplyAt : 0;
  }

  /** Ids of the peers that replied at or after a moment. */
  repliedSince(minAt: number): Set<string> {
    const replied = [...this.peers].filter(
      ([, peer]) => peer.lastReplyAt >= minAt,
    );
    return new Set(replied.map(([id]) => id));
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

/** All peers except the one with this id. */
export function peersExcept(peers: readonly Peer[], id: string): Peer[] {
  return peers.filter(peer => peer.id !== id);
}

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

  /**
   * Forgets peers that left the configuration. One that joins again would
   * otherwise count as silent since before it left.
   */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.peers.keys()) {
      if (!ids.has(id)) this.peers.delete(id);
    }
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

import type {
  Configuration,
  ConsensusMessage,
} from '../../../schema/generated/consensus';

/** Addresses of the peers in the control group. */
export class PeerAddresses {
  private readonly learned = new Map<string, string>();

  /** Records the address of the sender of a message. */
  add({from, fromAddress}: ConsensusMessage): void {
    if (fromAddress !== '') this.learned.set(from, fromAddress);
  }

  /** The address of a peer, which may not be in the configuration yet. */
  of(id: string, {peers}: Configuration): string | undefined {
    const peer = peers.find(other => other.id === id);
    return peer?.address ?? this.learned.get(id);
  }
}

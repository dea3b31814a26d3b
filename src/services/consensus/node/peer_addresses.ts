import type {
  Configuration,
  ConsensusMessage,
} from '../../../schema/generated/consensus';

/** Where the peers of the control log are met. */
export class PeerAddresses {
  private readonly learned = new Map<string, string>();

  /** Takes note of where a peer that sent something is answered. */
  learn({from, fromAddress}: ConsensusMessage): void {
    if (fromAddress !== '') this.learned.set(from, fromAddress);
  }

  /** The address of a peer; a new one stands in no configuration yet. */
  of(id: string, {peers}: Configuration): string | undefined {
    const peer = peers.find(other => other.id === id);
    return peer?.address ?? this.learned.get(id);
  }
}

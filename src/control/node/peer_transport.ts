import {Metadata} from '@grpc/grpc-js';
import {
  deadlineIn,
  CHANNEL_CREDENTIALS,
  CHANNEL_OPTIONS,
} from '../../base/node/grpc';
import type {ConsensusTransport} from '../../services/consensus/node/consensus_node';
import type {JoinTransport} from '../../services/consensus/node/join_requests';
import {PeerAddresses} from '../../services/consensus/node/peer_addresses';
import type {
  Configuration,
  ConsensusMessage,
  JoinReply,
  JoinRequest,
} from '../../schema/generated/consensus';
import {ConsensusClient} from '../../schema/generated/consensus_service';

const DELIVERY_TIMEOUT_MS = 1_000;
/** Equals the interval between join requests, so that at most one is open. */
const JOIN_TIMEOUT_MS = 500;
/** Further messages to the peer are dropped. */
const MAX_PENDING_DELIVERIES = 64;

interface Peer {
  readonly client: ConsensusClient;
  pendingCount: number;
}

/** Sends consensus messages and join requests to peers over gRPC. */
export class PeerTransport implements ConsensusTransport, JoinTransport {
  private readonly peers = new Map<string, Peer>();
  private readonly addresses = new PeerAddresses();

  constructor(
    private readonly ownAddress: string,
    signal: AbortSignal,
  ) {
    signal.addEventListener('abort', () => {
      for (const {client} of this.peers.values()) client.close();
    });
  }

  /** Records the reply address that a peer's message carries. */
  recordAddress(message: ConsensusMessage): void {
    this.addresses.add(message);
  }

  /** The address of a peer; '' if it is unknown. */
  addressOf(id: string, configuration: Configuration): string {
    return this.addresses.of(id, configuration) ?? '';
  }

  send(message: ConsensusMessage, configuration: Configuration): void {
    const address = this.addresses.of(message.to, configuration);
    if (address === undefined) return;
    const peer = this.peerAt(address);
    const outgoing = {...message, fromAddress: this.ownAddress};
    if (peer.pendingCount >= MAX_PENDING_DELIVERIES) return;
    peer.pendingCount++;
    const options = {deadline: deadlineIn(DELIVERY_TIMEOUT_MS)};
    // Errors are ignored: the consensus core retransmits.
    peer.client.deliver(outgoing, new Metadata(), options, () => {
      peer.pendingCount--;
    });
  }

  join(
    address: string,
    request: JoinRequest,
    onDidReply: (reply: JoinReply) => void,
  ): void {
    const options = {deadline: deadlineIn(JOIN_TIMEOUT_MS)};
    const {client} = this.peerAt(address);
    client.join(request, new Metadata(), options, (...[, reply]) => {
      if (reply) onDidReply(reply);
    });
  }

  private peerAt(address: string): Peer {
    const existing = this.peers.get(address);
    if (existing) return existing;
    const client = new ConsensusClient(
      address,
      CHANNEL_CREDENTIALS,
      CHANNEL_OPTIONS,
    );
    const peer = {client, pendingCount: 0};
    this.peers.set(address, peer);
    return peer;
  }
}

import {Metadata} from '@grpc/grpc-js';
import {deadlineIn, LINK_CREDENTIALS, LINK_OPTIONS} from '../../base/node/grpc';
import type {ConsensusTransport} from '../../services/consensus/node/consensus_node';
import {
  ConsensusClient,
  type Configuration,
  type ConsensusMessage,
} from '../../schema/generated/consensus';

const DELIVERY_MS = 1_000;
/** Messages under way to one peer; more are dropped, as a network would. */
const MOST_UNDER_WAY = 64;

interface Link {
  readonly client: ConsensusClient;
  underWay: number;
}

/** Carries consensus messages to peers; late ones are given up. */
export class PeerTransport implements ConsensusTransport {
  private readonly links = new Map<string, Link>();

  private readonly addresses = new Map<string, string>();

  constructor(
    private readonly ownAddress: string,
    signal: AbortSignal,
  ) {
    signal.addEventListener('abort', () => {
      for (const {client} of this.links.values()) client.close();
    });
  }

  /** Takes note of where a peer that sent something is answered. */
  learn({from, fromAddress}: ConsensusMessage): void {
    if (fromAddress !== '') this.addresses.set(from, fromAddress);
  }

  send(message: ConsensusMessage, configuration: Configuration): void {
    const peer = configuration.peers.find(({id}) => id === message.to);
    const address = peer?.address ?? this.addresses.get(message.to);
    if (address === undefined) return;
    const link = this.linkTo(address);
    const signed = {...message, fromAddress: this.ownAddress};
    if (link.underWay >= MOST_UNDER_WAY) return;
    link.underWay++;
    const options = {deadline: deadlineIn(DELIVERY_MS)};
    // Failures are not looked at: the core repeats what was not answered.
    link.client.deliver(signed, new Metadata(), options, () => {
      link.underWay--;
    });
  }

  private linkTo(address: string): Link {
    const known = this.links.get(address);
    if (known) return known;
    const client = new ConsensusClient(address, LINK_CREDENTIALS, LINK_OPTIONS);
    const link = {client, underWay: 0};
    this.links.set(address, link);
    return link;
  }
}

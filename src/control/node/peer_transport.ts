import {Metadata} from '@grpc/grpc-js';
import {deadlineIn, LINK_CREDENTIALS, LINK_OPTIONS} from '../../base/node/grpc';
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

const DELIVERY_MS = 1_000;
/** As often as it is asked. */
const JOIN_MS = 500;
/** Messages under way to one peer; more are dropped, as a network would. */
const MOST_UNDER_WAY = 64;

interface Link {
  readonly client: ConsensusClient;
  underWay: number;
}

/** Carries consensus messages to peers over gRPC; late ones are given up. */
export class PeerTransport implements ConsensusTransport, JoinTransport {
  private readonly links = new Map<string, Link>();
  private readonly addresses = new PeerAddresses();

  constructor(
    private readonly ownAddress: string,
    signal: AbortSignal,
  ) {
    signal.addEventListener('abort', () => {
      for (const {client} of this.links.values()) client.close();
    });
  }

  /** Takes note of where a peer that sent something is answered. */
  learn(message: ConsensusMessage): void {
    this.addresses.learn(message);
  }

  send(message: ConsensusMessage, configuration: Configuration): void {
    const address = this.addresses.of(message.to, configuration);
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

  join(
    address: string,
    request: JoinRequest,
    onDidAnswer: (reply: JoinReply) => void,
  ): void {
    const options = {deadline: deadlineIn(JOIN_MS)};
    const {client} = this.linkTo(address);
    client.join(request, new Metadata(), options, (...[, reply]) => {
      if (reply) onDidAnswer(reply);
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

import type {Log} from '../../../base/node/log';
import type {MessageCodec} from '../../../base/node/message_frames';
import {
  openLink,
  type LinkProtocol,
  type MessageLink,
} from '../../../base/node/message_link';
import type {MessageServer} from '../../../base/node/message_server';
import {
  PeerRequest,
  PeerResponse,
  type Configuration,
  type ConsensusMessage,
  type JoinReply,
  type JoinRequest,
} from '../../../schema/generated/consensus';
import {findMessageFault} from '../common/message_faults';
import type {ConsensusTransport} from './consensus_node';
import type {JoinTransport} from './join_requests';
import {PeerAddresses} from './peer_addresses';

/** Requests of peers; decoding fails for those that contradict themselves. */
export const CHECKED_REQUESTS: MessageCodec<PeerRequest> = {
  encode: request => PeerRequest.encode(request),
  decode: bytes => {
    const request = PeerRequest.decode(bytes);
    const {body} = request;
    const fault =
      body?.$case === 'consensus' ? findMessageFault(body.value) : undefined;
    if (fault !== undefined) throw new Error(fault);
    return request;
  },
};

/** Protocol between control instances. */
const PEER_PROTOCOL: LinkProtocol<PeerRequest, PeerResponse> = {
  name: 'control peer',
  requests: CHECKED_REQUESTS,
  responses: PeerResponse,
  // Longer than an election takes.
  maxSilenceMs: 1_500,
};

/**
 * Messages beyond this are dropped; the consensus core repeats requests without
 * a reply.
 */
const MAX_QUEUED_BYTES = 1024 * 1024;

type Link = MessageLink<PeerRequest, PeerResponse>;

/** Handles the messages of peers. */
export interface PeerListener {
  onDidReceive(message: ConsensusMessage): void;
  onDidRequestJoin(request: JoinRequest): JoinReply;
}

/** Transports consensus messages and join requests over links. */
export class PeerLinks implements ConsensusTransport, JoinTransport {
  private readonly links = new Map<string, Link>();
  private readonly addresses = new PeerAddresses();
  private readonly joinCallbacks = new Map<
    string,
    (reply: JoinReply) => void
  >();

  constructor(
    private readonly ownAddress: string,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {}

  /** Accepts the links of other instances. */
  serve(server: MessageServer, listener: PeerListener): void {
    server.serve(PEER_PROTOCOL, link => {
      link.start({
        onDidReceive: ({body}) => {
          if (body?.$case === 'join') {
            link.write({join: listener.onDidRequestJoin(body.value)});
          } else if (body?.$case === 'consensus') {
            this.addresses.add(body.value);
            listener.onDidReceive(body.value);
          }
        },
        onDidEnd: reason => this.logEnd(link, reason),
      });
    });
  }

  /** The address of a peer; '' if it is unknown. */
  addressOf(id: string, configuration: Configuration): string {
    return this.addresses.of(id, configuration) ?? '';
  }

  send(message: ConsensusMessage, configuration: Configuration): void {
    const address = this.addresses.of(message.to, configuration);
    if (address === undefined) return;
    const link = this.linkTo(address);
    if (link.queuedBytes > MAX_QUEUED_BYTES) return;
    const value = {...message, fromAddress: this.ownAddress};
    link.write({body: {$case: 'consensus', value}});
  }

  join(
    address: string,
    request: JoinRequest,
    onDidReply: (reply: JoinReply) => void,
  ): void {
    this.joinCallbacks.set(address, onDidReply);
    this.linkTo(address).write({body: {$case: 'join', value: request}});
  }

  private linkTo(address: string): Link {
    const known = this.links.get(address);
    if (known) return known;
    const link = openLink(address, PEER_PROTOCOL, this.signal);
    this.links.set(address, link);
    link.start({
      onDidReceive: ({join}) => {
        if (join) this.joinCallbacks.get(address)?.(join);
      },
      onDidEnd: reason => {
        this.links.delete(address);
        this.logEnd(link, reason);
      },
    });
    return link;
  }

  /** Failed connection attempts are not logged: there is one per heartbeat. */
  private logEnd(
    {peer, hasOpened}: {peer: string; hasOpened: boolean},
    reason: string,
  ): void {
    if (!hasOpened) return;
    this.log.info('The link to another instance ended.', {peer, reason});
  }
}

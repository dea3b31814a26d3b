import {afterEach, describe, expect, it} from 'vitest';
import {createAbortController} from '../../../base/node/timers';
import {MessageServer} from '../../../base/node/message_server';
import type {
  Configuration,
  ConsensusMessage,
} from '../../../schema/generated/consensus';
import {makeConfiguration} from '../../../services/consensus/common/configuration';
import {PeerLinks} from '../../../services/consensus/node/peer_links';
import {makeLog} from '../../../services/gateway/test/node/session_fixture';
import {PeerTransport} from '../../node/peer_transport';

const SELF = {id: 'm0', address: '127.0.0.1:1', voter: true};
const LEADER = {id: 'm1', address: '127.0.0.1:2', voter: true};

const HEARTBEAT: ConsensusMessage = {
  from: LEADER.id,
  to: SELF.id,
  term: 2,
  fromAddress: LEADER.address,
  body: undefined,
};

/** A transport between control instances that has received a message. */
interface TransportFixture {
  readonly kind: string;
  receive(
    message: ConsensusMessage,
    signal: AbortSignal,
  ): Promise<(id: string, configuration: Configuration) => string>;
}

const FIXTURES: TransportFixture[] = [
  {
    kind: 'gRPC',
    receive(message, signal) {
      const transport = new PeerTransport(SELF.address, signal);
      transport.recordAddress(message);
      return Promise.resolve((...peer) => transport.addressOf(...peer));
    },
  },
  {
    kind: 'links',
    async receive(message, signal) {
      const {log} = makeLog();
      const server = new MessageServer(log);
      const receiver = new PeerLinks(SELF.address, log, signal);
      const received = new Promise<void>(resolve => {
        receiver.serve(server, {
          onDidReceive: () => resolve(),
          onDidRequestJoin: () => ({accepted: false, leaderAddress: ''}),
        });
      });
      const port = (await server.listen('127.0.0.1:0', signal)).unwrapOr(0);
      const address = `127.0.0.1:${port}`;
      const sender = new PeerLinks(message.fromAddress, log, signal);
      sender.send(message, makeConfiguration([{...SELF, address}]));
      await received;
      return (...peer) => receiver.addressOf(...peer);
    },
  },
];

describe.each(FIXTURES)('a peer over $kind', ({receive}) => {
  const stop = createAbortController();

  afterEach(() => stop.abort());

  // Guards against an instance that hears a leader but does not say where it
  // is, because the entry that added the leader has not arrived yet: one that
  // lost its disk may be able to ask this instance only.
  it('has an address before the configuration names it', async () => {
    const configuration = makeConfiguration([SELF]);
    const addressOf = await receive(HEARTBEAT, stop.signal);
    expect(addressOf(LEADER.id, configuration)).toBe(LEADER.address);
    expect(addressOf('unknown', configuration)).toBe('');
    expect(addressOf('', configuration)).toBe('');
    expect(addressOf(SELF.id, configuration)).toBe(SELF.address);
  });
});

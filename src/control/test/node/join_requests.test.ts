import {afterEach, describe, expect, it} from 'vitest';
import {createServer, listen} from '../../../base/node/grpc';
import {MessageServer} from '../../../base/node/message_server';
import {createAbortController} from '../../../base/node/timers';
import type {JoinReply, JoinRequest} from '../../../schema/generated/consensus';
import {
  ConsensusService,
  type ConsensusServer,
} from '../../../schema/generated/consensus_service';
import {
  requestJoinWhileOutside,
  type JoinTransport,
} from '../../../services/consensus/node/join_requests';
import {PeerLinks} from '../../../services/consensus/node/peer_links';
import {makeLog} from '../../../services/gateway/test/node/session_fixture';
import {PeerTransport} from '../../node/peer_transport';

const SELF = {id: 'new', address: '127.0.0.1:1', leaving: false};

/** One transport between control instances. */
interface JoinFixture {
  readonly kind: string;
  connect(signal: AbortSignal): JoinTransport;
  /** Starts an instance that replies to join requests; returns its port. */
  serve(
    handleJoin: (request: JoinRequest) => JoinReply,
    signal: AbortSignal,
  ): Promise<number>;
}

const FIXTURES: JoinFixture[] = [
  {
    kind: 'gRPC',
    connect: signal => new PeerTransport(SELF.address, signal),
    async serve(answer, signal) {
      const server = createServer();
      const handlers: ConsensusServer = {
        deliver: (...[, respond]) => respond(null, {}),
        join: (call, respond) => respond(null, answer(call.request)),
      };
      server.addService(ConsensusService, handlers);
      return (await listen(server, '127.0.0.1:0', signal)).unwrapOr(0);
    },
  },
  {
    kind: 'links',
    connect: signal => new PeerLinks(SELF.address, makeLog().log, signal),
    async serve(answer, signal) {
      const {log} = makeLog();
      const server = new MessageServer(log);
      new PeerLinks('127.0.0.1:2', log, signal).serve(server, {
        onDidReceive: () => {},
        onDidRequestJoin: answer,
      });
      return (await server.listen('127.0.0.1:0', signal)).unwrapOr(0);
    },
  },
];

describe.each(FIXTURES)('an instance that joins over $kind', fixture => {
  const stop = createAbortController();

  afterEach(() => stop.abort());

  /** A control instance that records the join requests it receives. */
  async function startInstance(leaderAddress: string) {
    const joiningIds: string[] = [];
    const handleJoin = ({id}: JoinRequest) => {
      joiningIds.push(id);
      return {accepted: leaderAddress === '', leaderAddress};
    };
    const port = await fixture.serve(handleJoin, stop.signal);
    return {joiningIds, address: `127.0.0.1:${port}`};
  }

  it('also asks a leader that is not on its list', async () => {
    // Guards against a voter with a lost disk never being replaced because the
    // leader, the only one that can accept a join, is not on the list.
    const leader = await startInstance('');
    const listed = await startInstance(leader.address);
    const transport = fixture.connect(stop.signal);
    requestJoinWhileOutside(
      SELF,
      () => [listed.address],
      () => true,
      transport,
      stop.signal,
    );
    for (
      let attempt = 0;
      attempt < 200 && leader.joiningIds.length === 0;
      attempt++
    ) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    expect(leader.joiningIds).toContain('new');
  });
});

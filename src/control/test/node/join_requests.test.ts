import {afterEach, describe, expect, it} from 'vitest';
import {createServer, listen} from '../../../base/node/grpc';
import {MessageServer} from '../../../base/node/message_server';
import {ownController} from '../../../base/node/timers';
import type {JoinReply, JoinRequest} from '../../../schema/generated/consensus';
import {
  ConsensusService,
  type ConsensusServer,
} from '../../../schema/generated/consensus_service';
import {
  requestJoinUntilVoter,
  type JoinTransport,
} from '../../../services/consensus/node/join_requests';
import {PeerLinks} from '../../../services/consensus/node/peer_links';
import {makeLog} from '../../../services/gateway/test/node/session_fixture';
import {PeerTransport} from '../../node/peer_transport';

const SELF = {id: 'new', address: '127.0.0.1:1'};

/** One way for control instances to talk to each other. */
interface Exchange {
  readonly kind: string;
  calls(signal: AbortSignal): JoinTransport;
  /** Starts an instance that answers; its port. */
  serve(
    answer: (request: JoinRequest) => JoinReply,
    signal: AbortSignal,
  ): Promise<number>;
}

const EXCHANGES: Exchange[] = [
  {
    kind: 'gRPC',
    calls: signal => new PeerTransport(SELF.address, signal),
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
    calls: signal => new PeerLinks(SELF.address, makeLog().log, signal),
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

describe.each(EXCHANGES)('an instance that joins over $kind', exchange => {
  const stop = ownController();

  afterEach(() => stop.abort());

  /** A control instance that notes who asks to be taken in. */
  async function startInstance(leaderAddress: string) {
    const asked: string[] = [];
    const answer = ({id}: JoinRequest) => {
      asked.push(id);
      return {accepted: leaderAddress === '', leaderAddress};
    };
    const port = await exchange.serve(answer, stop.signal);
    return {asked, address: `127.0.0.1:${port}`};
  }

  it('asks the leader, also one that is not on its list', async () => {
    // Six control instances, three of them on everybody's list. The leader is
    // one of the others when an instance comes back with an empty disk. Nobody
    // on its list could take it in, its lost voter was not replaced, and the
    // next two lost disks left control without a majority for good.
    const leader = await startInstance('');
    const listed = await startInstance(leader.address);
    const calls = exchange.calls(stop.signal);
    requestJoinUntilVoter(
      SELF,
      [listed.address],
      () => false,
      calls,
      stop.signal,
    );
    for (let looks = 0; looks < 200 && leader.asked.length === 0; looks++) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    expect(leader.asked).toContain('new');
  });
});

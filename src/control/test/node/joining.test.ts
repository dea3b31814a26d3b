import {afterEach, expect, it} from 'vitest';
import {createServer, listen} from '../../../base/node/grpc';
import {ownController} from '../../../base/node/timers';
import {instanceId} from '../../../base/common/ids';
import {
  ConsensusService,
  type ConsensusServer,
} from '../../../schema/generated/consensus';
import {keepJoining} from '../../node/joining';

const stop = ownController();

afterEach(() => stop.abort());

/** A control instance that notes who asks to be taken in. */
async function startInstance(leaderAddress: () => string) {
  const asked: string[] = [];
  const server = createServer();
  const handlers: ConsensusServer = {
    deliver: (...[, respond]) => respond(null, {}),
    join: (call, respond) => {
      asked.push(call.request.id);
      const leader = leaderAddress();
      respond(null, {accepted: leader === '', leaderAddress: leader});
    },
  };
  server.addService(ConsensusService, handlers);
  const port = await listen(server, '127.0.0.1:0', stop.signal);
  if (port.isErr) throw port.error;
  return {asked, address: `127.0.0.1:${port.value}`};
}

it('asks the leader, also one that is not on its list', async () => {
  // Six control instances, three of them on everybody's list. The leader is
  // one of the others when an instance comes back with an empty disk. Nobody
  // on its list could take it in, its lost voter was not replaced, and the
  // next two lost disks left control without a majority for good.
  const leader = await startInstance(() => '');
  const listed = await startInstance(() => leader.address);
  const others = [{instance: instanceId('a'), address: listed.address}];
  const self = {id: 'new', address: '127.0.0.1:1'};
  keepJoining(self, others, () => false, stop.signal);
  for (let looks = 0; looks < 200 && leader.asked.length === 0; looks++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  expect(leader.asked).toContain('new');
});

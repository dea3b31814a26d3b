import {Metadata} from '@grpc/grpc-js';
import {deadlineIn, LINK_CREDENTIALS, LINK_OPTIONS} from '../../base/node/grpc';
import {every} from '../../base/node/timers';
import type {Joiner} from '../../services/membership/common/membership_plan';
import type {ControlAddress} from '../../services/settings/common/settings';
import {ConsensusClient} from '../../schema/generated/consensus';

const ASK_MS = 500;

/**
 * Asks the other control instances to take this one in, for as long as it is
 * no voter.
 *
 * Guard: only the leader can take it in, and the leader may be an instance that
 * is not on the list. Whoever is asked names the leader, and that one is asked
 * too: an instance that lost its disk would else stay outside for as long as
 * the lead lasts, and its lost voter would count as one failure more.
 */
export function keepJoining(
  self: Joiner,
  others: readonly ControlAddress[],
  isSettled: () => boolean,
  signal: AbortSignal,
): void {
  const clients = new Map<string, ConsensusClient>();
  const ask = (address: string, onDidHearOf: (leader: string) => void) => {
    const client =
      clients.get(address) ??
      new ConsensusClient(address, LINK_CREDENTIALS, LINK_OPTIONS);
    clients.set(address, client);
    const options = {deadline: deadlineIn(ASK_MS)};
    client.join(self, new Metadata(), options, (...[, response]) => {
      const leader = response?.leaderAddress ?? '';
      if (response && !response.accepted && leader !== '') onDidHearOf(leader);
    });
  };
  const listed = new Set(others.map(({address}) => address));
  const close = (address: string) => {
    clients.get(address)?.close();
    clients.delete(address);
  };
  signal.addEventListener('abort', () => {
    for (const address of [...clients.keys()]) close(address);
  });
  let named = '';
  const follow = (leader: string) => {
    if (signal.aborted || leader === named || listed.has(leader)) return;
    if (leader === self.address) return;
    close(named);
    named = leader;
    ask(leader, () => {});
  };
  every(signal, ASK_MS, () => {
    if (isSettled()) return;
    for (const address of listed) ask(address, follow);
    if (named !== '') ask(named, follow);
  });
}

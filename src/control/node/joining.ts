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
 */
export function keepJoining(
  self: Joiner,
  others: readonly ControlAddress[],
  isSettled: () => boolean,
  signal: AbortSignal,
): void {
  const clients = others.map(({address}) => {
    return new ConsensusClient(address, LINK_CREDENTIALS, LINK_OPTIONS);
  });
  signal.addEventListener('abort', () => {
    for (const client of clients) client.close();
  });
  every(signal, ASK_MS, () => {
    if (isSettled()) return;
    for (const client of clients) {
      const options = {deadline: deadlineIn(ASK_MS)};
      client.join(self, new Metadata(), options, () => {});
    }
  });
}

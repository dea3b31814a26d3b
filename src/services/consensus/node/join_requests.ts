import {every} from '../../../base/node/timers';
import type {JoinReply, JoinRequest} from '../../../schema/generated/consensus';

/** Sends join requests to other control instances. */
export interface JoinTransport {
  /** Sends a request to an address; there is no callback without a reply. */
  join(
    address: string,
    request: JoinRequest,
    onDidReply: (reply: JoinReply) => void,
  ): void;
}

const REQUEST_INTERVAL_MS = 500;

/**
 * Sends join requests to all configured control instances while this instance
 * is outside the group. The addresses are read at each request, because the
 * settings may change.
 *
 * Guard: only the leader accepts a request, and its address may not be
 * configured. Replies name it, and it gets a request too; an instance that lost
 * its disk could otherwise not rejoin before the leader changes.
 */
export function requestJoinWhileOutside(
  self: JoinRequest,
  addresses: () => readonly string[],
  isOutside: () => boolean,
  transport: JoinTransport,
  signal: AbortSignal,
): void {
  let leader = '';
  const onReply = ({accepted, leaderAddress}: JoinReply) => {
    if (signal.aborted || accepted || leaderAddress === '') return;
    if (leaderAddress === leader || leaderAddress === self.address) return;
    leader = leaderAddress;
    if (addresses().includes(leader)) return;
    transport.join(leader, self, () => {});
  };
  const askAll = () => {
    if (!isOutside()) return;
    const asked = new Set(addresses());
    if (leader !== '') asked.add(leader);
    for (const address of asked) transport.join(address, self, onReply);
  };
  askAll();
  every(signal, REQUEST_INTERVAL_MS, askAll);
}

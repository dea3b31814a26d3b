import {every} from '../../../base/node/timers';
import type {JoinReply, JoinRequest} from '../../../schema/generated/consensus';

/** Carries the question of an instance that wants to be taken in. */
export interface JoinTransport {
  /** Asks the instance at an address; not called back where none answers. */
  join(
    address: string,
    request: JoinRequest,
    onDidAnswer: (reply: JoinReply) => void,
  ): void;
}

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
export function requestJoinUntilVoter(
  self: JoinRequest,
  listed: readonly string[],
  isSettled: () => boolean,
  calls: JoinTransport,
  signal: AbortSignal,
): void {
  let named = '';
  const follow = ({accepted, leaderAddress}: JoinReply) => {
    if (signal.aborted || accepted || leaderAddress === '') return;
    if (leaderAddress === named || listed.includes(leaderAddress)) return;
    if (leaderAddress === self.address) return;
    named = leaderAddress;
    calls.join(named, self, () => {});
  };
  every(signal, ASK_MS, () => {
    if (isSettled()) return;
    for (const address of listed) calls.join(address, self, follow);
    if (named !== '') calls.join(named, self, follow);
  });
}

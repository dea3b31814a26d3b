import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import {hasVoteToHandOver, type VotingCore} from '../common/vote_handover';

const REQUEST_INTERVAL_MS = 100;
/** Beyond this, the vote is replaced once the instance is silent. */
const MAX_HANDOVER_MS = 2_000;

/**
 * Hands the vote of an instance that stops to a learner, if there is one, so
 * that the group does not have to notice the silence first.
 */
export async function handOverVote(
  core: VotingCore,
  requestLeave: () => void,
  clock: Clock,
  log: Log,
): Promise<void> {
  if (!hasVoteToHandOver(core)) return;
  const startedAt = clock.now();
  const tookMs = () => Math.round(clock.now() - startedAt);
  while (hasVoteToHandOver(core) && tookMs() < MAX_HANDOVER_MS) {
    requestLeave();
    await new Promise(resolve => setTimeout(resolve, REQUEST_INTERVAL_MS));
  }
  const isDone = !hasVoteToHandOver(core);
  log.info('Handed over the vote.', {isDone, tookMs: tookMs()});
}

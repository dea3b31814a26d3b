import type {AppendRequest} from '../../../schema/generated/consensus';
import type {EntryLog} from './entry_log';
import type {PeerProgress} from './progress';

/** Keeps one message below what a link takes in a heartbeat's time. */
const MOST_ENTRIES = 64;

/**
 * What a leader sends a peer next; undefined where its log no longer has what
 * the peer lacks.
 */
export function nextAppend(
  log: EntryLog,
  {nextIndex}: PeerProgress,
  commitIndex: number,
  round: number,
): AppendRequest | undefined {
  const previousIndex = nextIndex - 1;
  const previousTerm = log.termAt(previousIndex);
  if (previousTerm === undefined) return undefined;
  const entries = log.from(nextIndex, MOST_ENTRIES);
  return {previousIndex, previousTerm, entries, commitIndex, round};
}

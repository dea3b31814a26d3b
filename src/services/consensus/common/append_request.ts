import type {AppendRequest} from '../../../schema/generated/consensus';
import type {EntryLog} from './entry_log';
import type {PeerProgress} from './progress';

/** Bounds a message to what a link can transfer between two heartbeats. */
const MAX_ENTRIES_PER_MESSAGE = 64;

/**
 * Makes the next append request to a peer; undefined if the log was compacted
 * beyond the entries that the peer needs.
 */
export function makeAppendRequest(
  log: EntryLog,
  {nextIndex}: PeerProgress,
  commitIndex: number,
  round: number,
): AppendRequest | undefined {
  const previousIndex = nextIndex - 1;
  const previousTerm = log.termAt(previousIndex);
  if (previousTerm === undefined) return undefined;
  const entries = log.entriesFrom(nextIndex, MAX_ENTRIES_PER_MESSAGE);
  return {previousIndex, previousTerm, entries, commitIndex, round};
}

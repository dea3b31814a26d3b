import type {
  AppendRequest,
  LogEntry,
} from '../../../schema/generated/consensus';
import type {EntryLog} from './entry_log';
import type {PeerProgress} from './progress';

/** Bounds a message to what a link can transfer between two heartbeats. */
const MAX_ENTRIES_PER_MESSAGE = 64;
/** Commands beyond this wait for the next message, unless it has none. */
const MAX_COMMAND_BYTES = 512 * 1024;

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
  const entries = limitBytes(
    log.entriesFrom(nextIndex, MAX_ENTRIES_PER_MESSAGE),
  );
  return {previousIndex, previousTerm, entries, commitIndex, round};
}

/**
 * Guard: a link ends at a message that is larger than its queue, and so would
 * each link that the message is repeated on.
 */
function limitBytes(entries: LogEntry[]): LogEntry[] {
  let bytes = 0;
  const end = entries.findIndex(({payload}, position) => {
    bytes += payload?.$case === 'command' ? payload.value.length : 0;
    return position > 0 && bytes > MAX_COMMAND_BYTES;
  });
  return end < 0 ? entries : entries.slice(0, end);
}

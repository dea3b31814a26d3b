import type {LogEntry} from '../../../schema/generated/consensus';

interface TermStart {
  /** Entries with a lower index are of earlier terms. */
  readonly index: number;
  readonly seenAt: number;
}

const MAX_TERM_COUNT = 64;

/**
 * When this instance saw that terms of the log had ended, on its own clock. It
 * knows nothing of the time before its process started.
 */
export class TermHistory {
  private readonly starts: TermStart[] = [];

  /** @param newest The newest entry that is known from before. */
  constructor(private newest: Pick<LogEntry, 'index' | 'term'>) {}

  /** An entry was applied, or a snapshot that ends with it. */
  record({index, term}: Pick<LogEntry, 'index' | 'term'>, now: number): void {
    if (term > this.newest.term) {
      // A snapshot does not say where its last term began.
      this.starts.push({index: this.newest.index + 1, seenAt: now});
      if (this.starts.length > MAX_TERM_COUNT) this.starts.shift();
    }
    this.newest = {index, term};
  }

  /**
   * By when the term of an entry had ended; undefined if that was before the
   * history begins, or if it goes on.
   */
  endOf(index: number): number | undefined {
    return this.starts.find(start => start.index > index)?.seenAt;
  }
}

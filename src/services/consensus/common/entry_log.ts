import type {
  Configuration,
  LogEntry,
  Snapshot,
} from '../../../schema/generated/consensus';

/** The control log in memory: a snapshot and the entries after it. */
export class EntryLog {
  private entries: LogEntry[];
  private base: Snapshot;

  constructor(snapshot: Snapshot, entries: readonly LogEntry[]) {
    this.base = snapshot;
    this.entries = entries.filter(entry => entry.index > snapshot.index);
  }

  get snapshot(): Snapshot {
    return this.base;
  }

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? 0;
  }

  /** The term of an entry; undefined where the log does not reach. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /** Up to a number of entries from an index on. */
  from(index: number, most: number): LogEntry[] {
    const start = index - this.base.index - 1;
    return this.entries.slice(start, start + most);
  }

  /** Whether a log that ends like this one is at least as new as ours. */
  isCoveredBy(end: {lastIndex: number; lastTerm: number}): boolean {
    if (end.lastTerm !== this.lastTerm) return end.lastTerm > this.lastTerm;
    return end.lastIndex >= this.lastIndex;
  }

  append(entries: readonly LogEntry[]): void {
    this.entries.push(...entries);
  }

  /** Drops the entries from an index on. */
  truncateFrom(index: number): void {
    this.entries.length = index - this.base.index - 1;
  }

  /** Replaces what a snapshot covers by the snapshot. */
  compact(snapshot: Snapshot): void {
    const agrees = this.termAt(snapshot.index) === snapshot.term;
    this.entries = agrees ? this.from(snapshot.index + 1, Infinity) : [];
    this.base = snapshot;
  }

  /** The newest configuration at or below an index, with its index. */
  configurationAt(limit: number): {index: number; value: Configuration} {
    for (let index = limit; index > this.base.index; index--) {
      const payload = this.entryAt(index)?.payload;
      if (payload?.$case === 'configuration') {
        return {index, value: payload.value};
      }
    }
    const value = this.base.configuration ?? {peers: []};
    return {index: this.base.index, value};
  }
}

import type {
  Configuration,
  LogEntry,
  Snapshot,
} from '../../../schema/generated/consensus';
import {makeConfiguration} from './configuration';

/** The log in memory: a snapshot and the entries after it. */
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

  /** The term of an entry; undefined outside the log. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /** At most `maxCount` entries from an index on. */
  entriesFrom(index: number, maxCount: number): LogEntry[] {
    const start = index - this.base.index - 1;
    return this.entries.slice(start, start + maxCount);
  }

  /** Whether a log with this end is at least as up to date as this log. */
  isUpToDate(end: {lastIndex: number; lastTerm: number}): boolean {
    if (end.lastTerm !== this.lastTerm) return end.lastTerm > this.lastTerm;
    return end.lastIndex >= this.lastIndex;
  }

  append(entries: readonly LogEntry[]): void {
    this.entries.push(...entries);
  }

  /** Removes the entries from an index on. */
  truncateFrom(index: number): void {
    this.entries.length = index - this.base.index - 1;
  }

  /** Replaces the entries that a snapshot covers, or all if it conflicts. */
  compact(snapshot: Snapshot): void {
    const isMatching = this.termAt(snapshot.index) === snapshot.term;
    this.entries = isMatching
      ? this.entriesFrom(snapshot.index + 1, Infinity)
      : [];
    this.base = snapshot;
  }

  /** The newest configuration at or below an index, with its index. */
  configurationAt(maxIndex: number): {index: number; value: Configuration} {
    for (let index = maxIndex; index > this.base.index; index--) {
      const payload = this.entryAt(index)?.payload;
      if (payload?.$case === 'configuration') {
        return {index, value: payload.value};
      }
    }
    const value = this.base.configuration ?? makeConfiguration([]);
    return {index: this.base.index, value};
  }
}

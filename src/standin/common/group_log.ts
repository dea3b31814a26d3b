import type {Position} from '../../services/position/common/position';
import type {TermMark} from '../../schema/generated/replication';
import type {RowOperation} from './tables';

/** A committed transaction in the log. */
export interface LogEntry {
  readonly offset: number;
  readonly term: number;
  readonly operations: readonly RowOperation[];
}

/** The in-memory replication log of a member. */
export class GroupLog {
  private entries: LogEntry[] = [];

  get lastOffset(): number {
    return this.entries.length;
  }

  get lastPosition(): Position {
    const entry = this.entries.at(-1);
    return {term: entry?.term ?? 0, offset: this.lastOffset};
  }

  /** Appends the next entry; throws if its offset leaves a gap. */
  append(entry: LogEntry): void {
    if (entry.offset !== this.lastOffset + 1) {
      throw new Error(`log has a gap before offset ${entry.offset}`);
    }
    this.entries.push(entry);
  }

  /** Returns at most `maxCount` entries after an offset. */
  readAfter(offset: number, maxCount: number): LogEntry[] {
    return this.entries.slice(offset, offset + maxCount);
  }

  /** Removes all entries after an offset. */
  truncateAfter(offset: number): void {
    this.entries.length = Math.min(this.entries.length, offset);
  }

  /** Returns the last offset of each term in the log. */
  termMarks(): TermMark[] {
    const marks: TermMark[] = [];
    for (const {term, offset} of this.entries) {
      const last = marks.at(-1);
      if (last?.term === term) last.lastOffset = offset;
      else marks.push({term, lastOffset: offset});
    }
    return marks;
  }

  /** Returns the last offset shared with a log that has these term marks. */
  commonOffset(marks: readonly TermMark[]): number {
    const ownOffsets = new Map(
      this.termMarks().map(({term, lastOffset}) => [term, lastOffset]),
    );
    let common = 0;
    for (const {term, lastOffset} of marks) {
      const ownLastOffset = ownOffsets.get(term);
      if (ownLastOffset === undefined) break;
      common = Math.min(ownLastOffset, lastOffset);
      if (ownLastOffset !== lastOffset) break;
    }
    return common;
  }
}

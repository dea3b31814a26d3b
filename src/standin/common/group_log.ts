import type {Position} from '../../services/position/common/position';
import type {TermMark} from '../../schema/generated/replication';
import type {RowOperation} from './tables';

/** One committed transaction. */
export interface GroupEntry {
  readonly offset: number;
  readonly term: number;
  readonly operations: readonly RowOperation[];
}

/** The log of one database member, in memory. */
export class GroupLog {
  private entries: GroupEntry[] = [];

  get lastOffset(): number {
    return this.entries.length;
  }

  get last(): Position {
    const entry = this.entries.at(-1);
    return {term: entry?.term ?? 0, offset: this.lastOffset};
  }

  append(entry: GroupEntry): void {
    if (entry.offset !== this.lastOffset + 1) {
      throw new Error(`gap in the log before offset ${entry.offset}`);
    }
    this.entries.push(entry);
  }

  /** Entries after an offset, at most so many. */
  after(offset: number, most: number): GroupEntry[] {
    return this.entries.slice(offset, offset + most);
  }

  truncateAfter(offset: number): void {
    this.entries.length = Math.min(this.entries.length, offset);
  }

  /** The last offset of each term in the log. */
  marks(): TermMark[] {
    const marks: TermMark[] = [];
    for (const {term, offset} of this.entries) {
      const last = marks.at(-1);
      if (last?.term === term) last.lastOffset = offset;
      else marks.push({term, lastOffset: offset});
    }
    return marks;
  }

  /** How much of another log, known by its marks, this one agrees with. */
  commonOffset(marks: readonly TermMark[]): number {
    const own = new Map(
      this.marks().map(({term, lastOffset}) => [term, lastOffset]),
    );
    let common = 0;
    for (const {term, lastOffset} of marks) {
      const ownLast = own.get(term);
      if (ownLast === undefined) break;
      common = Math.min(ownLast, lastOffset);
      if (ownLast !== lastOffset) break;
    }
    return common;
  }
}

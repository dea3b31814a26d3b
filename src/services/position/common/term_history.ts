import type {Position} from '../../../schema/generated/announcement';
import type {TermStart} from '../../../schema/generated/control';

/**
 * Which log each term continued, like a timeline history of PostgreSQL. A new
 * term continues the log of its primary, which need not be that of the term
 * before: entries that only a lost primary had are discarded.
 */
export class TermHistory {
  private readonly termStarts: ReadonlyMap<number, TermStart>;
  /** Up to which offset the current log continued the log of each term. */
  private readonly commonOffsets = new Map<number, number>();

  constructor(
    readonly currentTerm: number,
    termStarts: readonly TermStart[],
  ) {
    this.termStarts = new Map(termStarts.map(start => [start.term, start]));
    let limit = Infinity;
    let term = currentTerm;
    for (;;) {
      this.commonOffsets.set(term, limit);
      const start = this.termStarts.get(term);
      if (!start) break;
      limit = Math.min(limit, start.baseOffset);
      term = start.baseTerm;
    }
    this.oldestTerm = term;
    this.oldestCommonOffset = limit;
  }

  /** Whether the current log continued the log of a term. */
  includes(term: number): boolean {
    return this.commonOffsets.has(term) || term < this.oldestTerm;
  }

  /**
   * The offset up to which the log of a term agrees with the current one;
   * Infinity for the current term.
   */
  commonOffset(term: number): number {
    const limit = this.commonOffsets.get(term);
    if (limit !== undefined) return limit;
    const start = this.termStarts.get(term);
    if (!start) return this.oldestCommonOffset;
    return Math.min(start.baseOffset, this.commonOffset(start.baseTerm));
  }

  /** Whether the current log contains the write at a position. */
  contains({term, offset}: Position): boolean {
    return this.includes(term) && offset <= this.commonOffset(term);
  }

  /**
   * The offset that the current log must reach to contain a position. Offsets
   * beyond the common log were never acknowledged; the current log has other
   * writes there, or none.
   */
  requiredOffset({term, offset}: Position): number {
    return Math.min(offset, this.commonOffset(term));
  }

  private readonly oldestTerm: number;
  private readonly oldestCommonOffset: number;
}

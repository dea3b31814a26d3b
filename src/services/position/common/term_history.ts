import type {Position} from '../../../schema/generated/announcement';
import type {TermStart} from '../../../schema/generated/control';

/**
 * How the logs of terms go on from one another. A new term goes on with the
 * log that its primary holds, which need not be the log of the term just
 * before: where that one's primary was lost before anybody had its log, the
 * next goes on with an older one, and what was written in between is gone.
 */
export class TermHistory {
  private readonly starts: ReadonlyMap<number, TermStart>;
  /** The terms that the current log goes back to, with the log's limits. */
  private readonly limits = new Map<number, number>();

  constructor(
    readonly currentTerm: number,
    termStarts: readonly TermStart[],
  ) {
    this.starts = new Map(termStarts.map(start => [start.term, start]));
    let limit = Infinity;
    let term = currentTerm;
    for (;;) {
      this.limits.set(term, limit);
      const start = this.starts.get(term);
      if (!start) break;
      limit = Math.min(limit, start.baseOffset);
      term = start.baseTerm;
    }
    this.oldest = term;
    this.oldestLimit = limit;
  }

  /** Whether the current log goes back to a term's. */
  includes(term: number): boolean {
    return this.limits.has(term) || term < this.oldest;
  }

  /**
   * Up to which offset the log of a term agrees with the current one.
   * Infinity for the current term itself.
   */
  commonOffset(term: number): number {
    const limit = this.limits.get(term);
    if (limit !== undefined) return limit;
    const start = this.starts.get(term);
    if (!start) return this.oldestLimit;
    return Math.min(start.baseOffset, this.commonOffset(start.baseTerm));
  }

  /** Whether the current log has the write at a position. */
  contains({term, offset}: Position): boolean {
    return this.includes(term) && offset <= this.commonOffset(term);
  }

  /**
   * The offset that the current log must reach to hold a position. Offsets
   * past the common part were never acknowledged: a session that saw one would
   * wait for an offset that the log reaches with other writes, or never.
   */
  requiredOffset({term, offset}: Position): number {
    return Math.min(offset, this.commonOffset(term));
  }

  private readonly oldest: number;
  private readonly oldestLimit: number;
}

import type {Position} from '../../../schema/generated/announcement';
import type {TermStart} from '../../../schema/generated/control';

export type {Position, TermStart};

/** The position before anything was written. */
export const ORIGIN: Position = {term: 0, offset: 0};

/** Orders positions as logs are ordered: by term, then by offset. */
export function comparePositions(a: Position, b: Position): number {
  return a.term - b.term || a.offset - b.offset;
}

/** The later of two positions. */
export function laterPosition(a: Position, b: Position): Position {
  return comparePositions(a, b) >= 0 ? a : b;
}

/** Reads "term/offset"; undefined where the text is something else. */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return {term: Number(match[1]), offset: Number(match[2])};
}

/** Writes a position as "term/offset". */
export function formatPosition({term, offset}: Position): string {
  return `${term}/${offset}`;
}

/**
 * The offset that a log of the current term must hold to hold a position.
 *
 * Offsets past the point where a later term began were never acknowledged and
 * are gone: a session that saw one, on the old primary, would wait for an
 * offset that the new log reaches with other writes, or never. The clamp
 * holds since every acknowledged write lies at or below that point.
 */
export function requiredOffset(
  position: Position,
  termStarts: readonly TermStart[],
): number {
  return termStarts
    .filter(({term}) => term > position.term)
    .reduce((least, start) => {
      return Math.min(least, start.baseOffset);
    }, position.offset);
}

/** What became of a write after the term that it was made in. */
export type WriteFate = 'kept' | 'lost' | 'undecided';

/**
 * Whether a write of an ended term is in the log of the terms after it.
 *
 * The first later term tells: its primary held the ended term's log up to its
 * base, or, where its last entry is of an earlier term, nothing of it at all.
 */
export function fateOf(
  position: Position,
  termStarts: readonly TermStart[],
): WriteFate {
  const later = termStarts
    .filter(({term}) => term > position.term)
    .sort((a, b) => a.term - b.term);
  const [next] = later;
  if (!next) return 'undecided';
  const held = next.baseTerm === position.term;
  const kept = later.every(({baseOffset}) => position.offset <= baseOffset);
  return held && kept ? 'kept' : 'lost';
}

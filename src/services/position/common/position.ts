import type {
  Position,
  TargetStatus,
} from '../../../schema/generated/announcement';

export type {Position};

/**
 * The position up to which a member holds the log of its matched term. Of two
 * members, the one with the higher position holds every acknowledged write that
 * the other one holds.
 */
export function heldPosition(status: TargetStatus): Position {
  const offset = status.received?.offset ?? 0;
  return {term: status.matchedTerm, offset};
}

/** The end of a member's log, in the term whose log it is. */
export function logEnd(status: TargetStatus): Position {
  return {...heldPosition(status), term: status.logTerm};
}

/** The position before the first write. */
export const ORIGIN_POSITION: Position = {term: 0, offset: 0};

/** Compares positions by term, then by offset, for sorting. */
export function comparePositions(a: Position, b: Position): number {
  return a.term - b.term || a.offset - b.offset;
}

/** The later of two positions; `a` if they are equal. */
export function laterPosition(a: Position, b: Position): Position {
  return comparePositions(a, b) >= 0 ? a : b;
}

/** Parses "term/offset"; undefined for other texts. */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return {term: Number(match[1]), offset: Number(match[2])};
}

/** Formats a position as "term/offset". */
export function formatPosition({term, offset}: Position): string {
  return `${term}/${offset}`;
}

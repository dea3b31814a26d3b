import type {
  Position,
  TargetStatus,
} from '../../../schema/generated/announcement';

export type {Position};

/**
 * How much a member surely holds: of two members the one with the higher
 * holds every acknowledged write that the other one holds.
 */
export function heldPosition(status: TargetStatus): Position {
  const offset = status.received?.offset ?? 0;
  return {term: status.matchedTerm, offset};
}

/** Where a member's log ends, in the log of which term. */
export function logEnd(status: TargetStatus): Position {
  return {...heldPosition(status), term: status.logTerm};
}

/** The position before anything was written. */
export const ORIGIN_POSITION: Position = {term: 0, offset: 0};

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

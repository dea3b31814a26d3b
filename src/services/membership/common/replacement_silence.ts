/** Without a bound on how soon a successor must be able to vote. */
const DEFAULT_SILENCE_MS = 8_000;
/** Leaves most of the time to start, join, receive the log and change voters. */
const FRACTION_OF_CATCH_UP = 0.25;

/** What bounds the silence after which a voter is replaced. */
export interface ReplacementTiming {
  /**
   * Time after its start at which a successor counts as a full replacement, in
   * milliseconds; 0 if there is no bound.
   */
  readonly catchUpMs: number;
  /** Silence that a responsive voter may show, in milliseconds. */
  readonly minSilenceMs: number;
}

/**
 * Silence after which a caught-up learner replaces a voter, in milliseconds.
 * Another loss is tolerated once the successor had its time, so that the
 * successor must vote by then.
 */
export function replacementSilenceMs({
  catchUpMs,
  minSilenceMs,
}: ReplacementTiming): number {
  if (catchUpMs === 0) return DEFAULT_SILENCE_MS;
  return Math.max(minSilenceMs, catchUpMs * FRACTION_OF_CATCH_UP);
}

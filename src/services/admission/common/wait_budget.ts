/** How long a request may wait for a place, as a part of its time. */
export const MAX_WAIT_FRACTION = 0.5;
/**
 * The same by class, where requests wait for longer: below a half, so that a
 * refused caller still has the time for another try.
 */
const WAIT_PART_BY_CLASS = 0.4;
/** The same, as a part of what its caller expects of a whole operation. */
const PATIENCE_PART = 0.25;
/**
 * What work is taken to take while nothing is known of it, as a part of the
 * objective: after a start everybody asks at once, and connections open.
 */
const UNKNOWN_WORK_PART = 0.5;
/** A way between regions and back, in milliseconds. */
const WAY_MS = 40;

/** What decides how long a request may wait for a place. */
export interface WaitBudgetInputs {
  /** What its caller expects of a whole operation; 0: nothing. */
  readonly objectiveMs: number;
  /** What is left of its statement's time, in milliseconds. */
  readonly statementTimeLeftMs: number;
  /** What is left until its caller expects the answer, in milliseconds. */
  readonly dueInMs: number;
  /** How long it waited for places before, in milliseconds. */
  readonly waitedMs: number;
}

/**
 * How long a request may wait for a place, in milliseconds. After a quarter of
 * what its caller expects of it, three quarters are left for another instance
 * and for the work; a request that waited longer mostly came too late. One
 * that is late already gains nothing by asking elsewhere, and would use up its
 * caller's tries: it waits for longer.
 */
export function computeWaitBudget(terms: WaitBudgetInputs): number {
  const {objectiveMs, statementTimeLeftMs, dueInMs, waitedMs} = terms;
  const most = statementTimeLeftMs * MAX_WAIT_FRACTION;
  const isPlain = objectiveMs === 0 || dueInMs <= 0;
  const inAll = isPlain ? most : Math.min(most, objectiveMs * PATIENCE_PART);
  return inAll - waitedMs;
}

/**
 * The same by class: what is left of the objective after the work and the way,
 * and never less than without classes.
 *
 * @param workMs What most work of this kind stays within; undefined: unknown.
 */
export function computeWaitBudgetByClass(
  terms: WaitBudgetInputs,
  workMs: number | undefined,
): number {
  const {statementTimeLeftMs, dueInMs, objectiveMs, waitedMs} = terms;
  const plain = computeWaitBudget(terms);
  if (objectiveMs === 0 || dueInMs <= 0) return plain;
  const most = statementTimeLeftMs * WAIT_PART_BY_CLASS - waitedMs;
  const takes = workMs ?? objectiveMs * UNKNOWN_WORK_PART;
  const left = dueInMs - takes - WAY_MS;
  return Math.max(plain, Math.min(most, left));
}

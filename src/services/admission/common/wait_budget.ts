/** The maximum wait, as a fraction of the statement's remaining time. */
export const MAX_WAIT_FRACTION = 0.5;
/** The same with priority classes; leaves a refused caller time for a retry. */
const MAX_WAIT_FRACTION_BY_CLASS = 0.4;
/** The maximum wait, as a fraction of the operation's objective. */
const OBJECTIVE_FRACTION = 0.25;
/** Expected work time while unknown, as a fraction of the objective. */
const UNKNOWN_WORK_FRACTION = 0.5;
/** A round trip between regions. */
const ROUND_TRIP_MS = 40;

/** The inputs of the wait budget of a request. */
export interface WaitBudgetInputs {
  /** The latency objective of the whole operation; 0 if there is none. */
  readonly objectiveMs: number;
  readonly statementTimeLeftMs: number;
  /** Time until the caller expects the reply; negative if overdue. */
  readonly dueInMs: number;
  /** How long it already waited for connections. */
  readonly waitedMs: number;
}

/**
 * Computes how long a request may wait for a connection, in milliseconds. Most
 * of the objective is left for the work and for a retry on another instance. An
 * overdue request waits longer, since a retry would not make it faster.
 */
export function computeWaitBudget(inputs: WaitBudgetInputs): number {
  const {objectiveMs, statementTimeLeftMs, dueInMs, waitedMs} = inputs;
  const maxWaitMs = statementTimeLeftMs * MAX_WAIT_FRACTION;
  const ignoresObjective = objectiveMs === 0 || dueInMs <= 0;
  const totalMs = ignoresObjective
    ? maxWaitMs
    : Math.min(maxWaitMs, objectiveMs * OBJECTIVE_FRACTION);
  return totalMs - waitedMs;
}

/**
 * Computes the wait budget with priority classes: what the objective leaves
 * after the work and a round trip, but at least the budget without classes.
 *
 * @param workMs An upper bound for most work of this kind; undefined: unknown.
 */
export function computeWaitBudgetByClass(
  inputs: WaitBudgetInputs,
  workMs: number | undefined,
): number {
  const {statementTimeLeftMs, dueInMs, objectiveMs, waitedMs} = inputs;
  const baseMs = computeWaitBudget(inputs);
  if (objectiveMs === 0 || dueInMs <= 0) return baseMs;
  const maxWaitMs = statementTimeLeftMs * MAX_WAIT_FRACTION_BY_CLASS - waitedMs;
  const expectedWorkMs = workMs ?? objectiveMs * UNKNOWN_WORK_FRACTION;
  const leftMs = dueInMs - expectedWorkMs - ROUND_TRIP_MS;
  return Math.max(baseMs, Math.min(maxWaitMs, leftMs));
}

import type {Task} from '../../../base/node/task';
import type {
  Statement,
  TargetStatement,
} from '../../statement/common/statement';
import type {CheckedOutConnection} from './checked_out_connection';
import type {SessionContext} from './session_context';

/** A statement that a member runs. */
export type MemberStatement = Statement & {kind: 'read' | 'write' | 'execute'};

/** A statement with the names of one connection, or why there is none. */
export type PreparationResult =
  | {readonly kind: 'ready'; readonly statement: TargetStatement}
  | {readonly kind: 'unknown name'}
  | {readonly kind: 'connection failed'};

/** Short, since the proxy's own statements take no slot at the member. */
const PRELUDE_TIMEOUT_MS = 400;

/**
 * Sets the session's values on a connection and prepares its statement there.
 * Waits for the replies: a pipelined statement would run with another session's
 * values if setting them had failed.
 */
export function* prepareConnection(
  {sessionState}: SessionContext,
  connection: CheckedOutConnection,
  requested: MemberStatement,
): Task<PreparationResult> {
  const {pooled} = connection.checkout;
  const prelude = sessionState.statementsToRestore(pooled);
  let statement: TargetStatement = requested;
  if (requested.kind === 'execute') {
    const execution = sessionState.resolveExecute(requested, pooled);
    if (!execution) return {kind: 'unknown name'};
    prelude.push(...execution.prelude);
    statement = execution.statement;
  }
  const isPrepared = yield* connection.runPrelude(prelude, PRELUDE_TIMEOUT_MS);
  return isPrepared ? {kind: 'ready', statement} : {kind: 'connection failed'};
}

import type {Task} from '../../../base/node/task';
import type {
  Statement,
  TargetStatement,
} from '../../statement/common/statement';
import type {CheckedOutConnection} from './checked_out_connection';
import type {SessionContext} from './session_context';

/** A statement that a member runs. */
export type MemberStatement = Statement & {kind: 'read' | 'write' | 'execute'};

/** A statement in the words of one connection, or why there is none. */
export type PreparationResult =
  | {readonly kind: 'ready'; readonly statement: TargetStatement}
  | {readonly kind: 'unknown name'}
  | {readonly kind: 'connection failed'};

/** Own statements before a request take no slot and are answered quickly. */
const PRELUDE_MS = 400;

/**
 * Gives a connection the session's values and prepared statement, and waits
 * until it has them: sent along, a statement behind one that failed would run
 * with another session's values.
 */
export function* prepareConnection(
  {sessionState}: SessionContext,
  turn: CheckedOutConnection,
  asked: MemberStatement,
): Task<PreparationResult> {
  const {pooled} = turn.grant;
  const prelude = sessionState.statementsToRestore(pooled);
  let statement: TargetStatement = asked;
  if (asked.kind === 'execute') {
    const execution = sessionState.resolveExecute(asked, pooled);
    if (!execution) return {kind: 'unknown name'};
    prelude.push(...execution.prelude);
    statement = execution.statement;
  }
  const isReady = yield* turn.runPrelude(prelude, PRELUDE_MS);
  return isReady ? {kind: 'ready', statement} : {kind: 'connection failed'};
}

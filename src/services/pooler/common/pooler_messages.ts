import type {DatabaseRoute} from '../../../schema/generated/fleet';
import {
  WorkAction,
  WorkFailure,
  WorkState,
  type SessionSnapshot,
  type WorkReply,
  type WorkStep,
  type WorkTerms,
  type WorkWait,
} from '../../../schema/generated/pooler';
import type {
  PreparedStatement,
  GatewaySessionState,
} from '../../gateway/common/gateway_session_state';
import type {MemberUser} from '../../../base/common/ids';
import {
  failure,
  type CallerReply,
  type Failure,
  type Statement,
  type TransactionState,
} from '../../statement/common/statement';

/**
 * Conversion between session requests and the messages between a proxy and a
 * pooler.
 */

/** A statement that can be sent to a pooler. */
export type PoolerStatement =
  | (Statement & {kind: 'read' | 'write' | 'execute'})
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'};

/** A decoded step of a request. */
export interface DecodedStep {
  readonly statement: PoolerStatement;
  /** The prepared statement to execute; set for executions only. */
  readonly prepared: PreparedStatement | undefined;
}

/** Name under which a pooler stores the prepared statement of a step. */
const STEP_STATEMENT = 'step';

const FAILURE_CODES: Readonly<Record<Failure, WorkFailure>> = {
  busy: WorkFailure.WORK_FAILURE_BUSY,
  aborted: WorkFailure.WORK_FAILURE_ABORTED,
  lagging: WorkFailure.WORK_FAILURE_LAGGING,
  'not primary': WorkFailure.WORK_FAILURE_NOT_PRIMARY,
  'other member': WorkFailure.WORK_FAILURE_OTHER_MEMBER,
  'too many connections': WorkFailure.WORK_FAILURE_TOO_MANY_CONNECTIONS,
  'unknown name': WorkFailure.WORK_FAILURE_UNKNOWN_NAME,
  failed: WorkFailure.WORK_FAILURE_FAILED,
  timeout: WorkFailure.WORK_FAILURE_TIMEOUT,
  'unknown database': WorkFailure.WORK_FAILURE_UNKNOWN_DATABASE,
  'bad message': WorkFailure.WORK_FAILURE_BAD_MESSAGE,
  'unknown outcome': WorkFailure.WORK_FAILURE_UNKNOWN_OUTCOME,
  'not authorized': WorkFailure.WORK_FAILURE_NOT_AUTHORIZED,
};

const FAILURE_KINDS: ReadonlyMap<WorkFailure, Failure> = new Map(
  Object.entries(FAILURE_CODES).map(([kind, code]) => [code, kind as Failure]),
);

const STATE_CODES: Readonly<Record<TransactionState, WorkState>> = {
  idle: WorkState.WORK_STATE_IDLE,
  open: WorkState.WORK_STATE_OPEN,
  failed: WorkState.WORK_STATE_FAILED,
};

const STATE_KINDS: ReadonlyMap<WorkState, TransactionState> = new Map(
  Object.entries(STATE_CODES).map(([kind, code]) => [
    code,
    kind as TransactionState,
  ]),
);

/**
 * Encodes a statement; undefined if it executes an unknown prepared statement.
 */
export function encodeStep(
  statement: PoolerStatement,
  sessionState: GatewaySessionState,
): WorkStep | undefined {
  const empty = {item: '', data: undefined, shape: ''};
  switch (statement.kind) {
    case 'read':
      return {
        ...empty,
        action: WorkAction.WORK_ACTION_READ,
        item: statement.item,
      };
    case 'write': {
      const {item, data} = statement;
      return {...empty, action: WorkAction.WORK_ACTION_WRITE, item, data};
    }
    case 'execute': {
      const prepared = sessionState.findPrepared(statement.name);
      if (!prepared) return undefined;
      const action =
        prepared.action === 'write'
          ? WorkAction.WORK_ACTION_EXECUTE_WRITE
          : WorkAction.WORK_ACTION_EXECUTE_READ;
      const {item, data} = statement;
      return {action, item, data, shape: prepared.shape};
    }
    case 'commit':
      return {...empty, action: WorkAction.WORK_ACTION_COMMIT};
    case 'rollback':
      return {...empty, action: WorkAction.WORK_ACTION_ROLLBACK};
  }
}

/**
 * Decodes a statement; undefined if the message is malformed or of an unknown
 * kind.
 */
export function decodeStep(step: WorkStep): DecodedStep | undefined {
  const {action, item, data, shape} = step;
  const name = STEP_STATEMENT;
  switch (action) {
    case WorkAction.WORK_ACTION_READ:
      return {statement: {kind: 'read', item}, prepared: undefined};
    case WorkAction.WORK_ACTION_WRITE:
      if (data === undefined) return undefined;
      return {statement: {kind: 'write', item, data}, prepared: undefined};
    case WorkAction.WORK_ACTION_EXECUTE_READ:
      return {
        statement: {kind: 'execute', name, item, data},
        prepared: {action: 'read', shape},
      };
    case WorkAction.WORK_ACTION_EXECUTE_WRITE:
      return {
        statement: {kind: 'execute', name, item, data},
        prepared: {action: 'write', shape},
      };
    case WorkAction.WORK_ACTION_COMMIT:
      return {statement: {kind: 'commit'}, prepared: undefined};
    case WorkAction.WORK_ACTION_ROLLBACK:
      return {statement: {kind: 'rollback'}, prepared: undefined};
    default:
      return undefined;
  }
}

/** The session state that is sent to a pooler. */
export interface TransferredSession {
  readonly caller: string;
  readonly user: MemberUser;
  readonly sessionState: GatewaySessionState;
}

/** Encodes a session; `now` is on the session's clock. */
export function encodeSession(
  {caller, user, sessionState}: TransferredSession,
  now: number,
): SessionSnapshot {
  const {lastCommit} = sessionState;
  return {
    caller,
    user,
    values: [...sessionState.values].flat(),
    ownCommit: lastCommit?.position,
    ownCommitAgeMs: lastCommit
      ? toWholeMilliseconds(now - lastCommit.acknowledgedAt)
      : 0,
  };
}

/**
 * Replaces the state of a session at the pooler; `now` is on the clock of the
 * pooler.
 */
export function applySession(
  {values, ownCommit, ownCommitAgeMs}: SessionSnapshot,
  sessionState: GatewaySessionState,
  now: number,
): void {
  sessionState.values.clear();
  for (let index = 0; index + 1 < values.length; index += 2) {
    sessionState.setValue(values[index]!, values[index + 1]!);
  }
  sessionState.recordCommit(ownCommit, now - ownCommitAgeMs);
}

/**
 * Stores the prepared statement of a step in the session state of the pooler.
 */
export function applyPrepared(
  {prepared}: DecodedStep,
  sessionState: GatewaySessionState,
): void {
  if (prepared) sessionState.prepare(STEP_STATEMENT, prepared);
}

/** Encodes the fields of a route that a pooler needs. */
export function encodeTerms(route: DatabaseRoute): WorkTerms {
  const {service, consistency, stalenessMs} = route;
  const {statementMs, priority, objectiveMs} = route;
  const times = {stalenessMs, statementMs, objectiveMs};
  return {service, consistency, priority, ...times};
}

/**
 * Decodes a route. The database name is left empty: callers connect to the
 * proxy only.
 */
export function decodeTerms(terms: WorkTerms): DatabaseRoute {
  const name = `pooled ${terms.service}`;
  // The proxy has authenticated the caller.
  return {...terms, database: '', name, keyed: false};
}

/** Encodes the result of a statement. */
export function encodeReply(
  work: number,
  {result, state, position}: CallerReply,
  waits: WorkWait[] = [],
): WorkReply {
  const isDone = result.kind === 'done';
  return {
    work,
    state: STATE_CODES[state],
    failure: isDone
      ? WorkFailure.WORK_FAILURE_UNSPECIFIED
      : FAILURE_CODES[result.failure],
    text: isDone ? '' : result.text,
    rows: isDone ? [...result.rows] : [],
    signature: isDone ? result.signature : '',
    committed: position,
    waits,
  };
}

/**
 * Decodes the result of a statement. An unknown failure code, sent by a newer
 * version, is treated as an unknown outcome.
 */
export function decodeReply(reply: WorkReply): CallerReply {
  const {rows, signature, text, committed: position} = reply;
  const state = STATE_KINDS.get(reply.state) ?? 'failed';
  if (reply.failure === WorkFailure.WORK_FAILURE_UNSPECIFIED) {
    return {result: {kind: 'done', rows, signature}, state, position};
  }
  const kind = FAILURE_KINDS.get(reply.failure) ?? 'unknown outcome';
  return {result: failure(kind, text), state, position};
}

/**
 * Rounds an age down to whole milliseconds. A reader that subtracts it from its
 * clock gets a moment no earlier than the writer meant, so a read never accepts
 * data that is too old.
 */
export function toWholeMilliseconds(milliseconds: number): number {
  return Math.max(0, Math.floor(milliseconds));
}

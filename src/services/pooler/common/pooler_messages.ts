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

/** Translates what sessions ask into messages to a pooler, and back. */

/** A statement as a pooler gets it. */
export type PoolerStatement =
  | (Statement & {kind: 'read' | 'write' | 'execute'})
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'};

/** What a pooler needs for one statement. */
export interface DecodedStep {
  readonly statement: PoolerStatement;
  /** What a prepared statement does; set for executions only. */
  readonly prepared: PreparedStatement | undefined;
}

/** The name that a pooler gives the one prepared statement of a step. */
const STEP_STATEMENT = 'step';

const FAILURES: Readonly<Record<Failure, WorkFailure>> = {
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
  Object.entries(FAILURES).map(([kind, code]) => [code, kind as Failure]),
);

const STATES: Readonly<Record<TransactionState, WorkState>> = {
  idle: WorkState.WORK_STATE_IDLE,
  open: WorkState.WORK_STATE_OPEN,
  failed: WorkState.WORK_STATE_FAILED,
};

const STATE_KINDS: ReadonlyMap<WorkState, TransactionState> = new Map(
  Object.entries(STATES).map(([kind, code]) => [
    code,
    kind as TransactionState,
  ]),
);

/** A statement as a message; undefined for an execution of an unknown name. */
export function encodeStep(
  statement: PoolerStatement,
  memory: GatewaySessionState,
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
      const known = memory.findPrepared(statement.name);
      if (!known) return undefined;
      const action =
        known.action === 'write'
          ? WorkAction.WORK_ACTION_EXECUTE_WRITE
          : WorkAction.WORK_ACTION_EXECUTE_READ;
      const {item, data} = statement;
      return {action, item, data, shape: known.shape};
    }
    case 'commit':
      return {...empty, action: WorkAction.WORK_ACTION_COMMIT};
    case 'rollback':
      return {...empty, action: WorkAction.WORK_ACTION_ROLLBACK};
  }
}

/** Reads a statement; undefined where it says nothing that this side knows. */
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

/** What of a session goes to a pooler. */
export interface TransferredSession {
  readonly caller: string;
  readonly user: MemberUser;
  readonly sessionState: GatewaySessionState;
}

/** What a member must know of a session, at a time of the session's clock. */
export function encodeSession(
  {caller, user, sessionState}: TransferredSession,
  now: number,
): SessionSnapshot {
  const {lastCommit: own} = sessionState;
  return {
    caller,
    user,
    values: [...sessionState.values].flat(),
    ownCommit: own?.position,
    ownCommitAgeMs: own ? toWholeMilliseconds(now - own.acknowledgedAt) : 0,
  };
}

/** Brings a pooler's memory of a session up to date, by the pooler's clock. */
export function applySession(
  {values, ownCommit, ownCommitAgeMs}: SessionSnapshot,
  memory: GatewaySessionState,
  now: number,
): void {
  memory.values.clear();
  for (let at = 0; at + 1 < values.length; at += 2) {
    memory.setValue(values[at]!, values[at + 1]!);
  }
  memory.recordCommit(ownCommit, now - ownCommitAgeMs);
}

/** Makes the prepared statement of a step known to a pooler's memory. */
export function applyPrepared(
  {prepared}: DecodedStep,
  memory: GatewaySessionState,
): void {
  if (prepared) memory.prepare(STEP_STATEMENT, prepared);
}

/** The part of a route that a pooler needs. */
export function encodeTerms(route: DatabaseRoute): WorkTerms {
  const {service, consistency, stalenessMs} = route;
  const {statementMs, priority, objectiveMs} = route;
  const times = {stalenessMs, statementMs, objectiveMs};
  return {service, consistency, priority, ...times};
}

/** A route as a pooler sees it: callers' names for it stay with the proxy. */
export function decodeTerms(terms: WorkTerms): DatabaseRoute {
  const name = `pooled ${terms.service}`;
  // Its proxy has looked at the caller's key.
  return {...terms, database: '', name, keyed: false};
}

/** A statement's outcome as a message. */
export function encodeReply(
  work: number,
  {result, state, position}: CallerReply,
  waits: WorkWait[] = [],
): WorkReply {
  const isDone = result.kind === 'done';
  return {
    work,
    state: STATES[state],
    failure: isDone
      ? WorkFailure.WORK_FAILURE_UNSPECIFIED
      : FAILURES[result.failure],
    text: isDone ? '' : result.text,
    rows: isDone ? [...result.rows] : [],
    signature: isDone ? result.signature : '',
    committed: position,
    waits,
  };
}

/**
 * Reads an outcome. A failure that this side does not know, of a newer pooler,
 * promises nothing.
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
 * An age in whole milliseconds, rounded down: the moment that the reader counts
 * back to then lies no earlier than the writer meant, so that a read never
 * accepts older data than its caller does.
 */
export function toWholeMilliseconds(milliseconds: number): number {
  return Math.max(0, Math.floor(milliseconds));
}

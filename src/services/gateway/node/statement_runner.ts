import type {Task} from '../../../base/node/task';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import type {
  StatementResult,
  TransactionState,
} from '../../statement/common/statement';
import {LocalTransaction, type StatementOutcome} from './local_transaction';
import type {SessionContext} from './session_context';
import {runStatement, type StatementRequest} from './single_statement';
import type {MemberStatement} from './statement_preparation';

/** A transaction that a session has open, wherever its connection is. */
export interface SessionTransaction {
  readonly state: TransactionState;
  run(
    requestId: string,
    statement: MemberStatement,
    isWrite: boolean,
  ): Task<StatementOutcome>;
  commit(requestId: string): Task<StatementOutcome>;
  rollback(): Task<void>;
  /** Undoes everything; the session's next statements fail. */
  abort(reason: string): void;
}

/** Runs the work of sessions on the members of a service. */
export interface StatementRunner {
  /** Runs a statement outside a transaction. */
  runStatement(
    context: SessionContext,
    request: StatementRequest,
  ): Task<StatementResult>;
  /** Opens a transaction that began at a time of the context's clock. */
  beginTransaction(
    context: SessionContext,
    route: DatabaseRoute,
    readOnly: boolean,
    since: number,
  ): SessionTransaction;
}

/** Runs work on this instance's own connections. */
export const LOCAL_RUNNER: StatementRunner = {
  runStatement,
  beginTransaction: (context, route, readOnly, since) => {
    return new LocalTransaction(context, route, readOnly, since);
  },
};

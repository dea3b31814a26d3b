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

/** An open transaction of a session, on this instance or at a pooler. */
export interface SessionTransaction {
  readonly state: TransactionState;
  run(
    requestId: string,
    statement: MemberStatement,
    isWrite: boolean,
  ): Task<StatementOutcome>;
  commit(requestId: string): Task<StatementOutcome>;
  rollback(): Task<void>;
  /** Rolls back; the session's next statements fail until it ends. */
  abort(reason: string): void;
}

/** Runs statements of sessions on the members of a service. */
export interface StatementRunner {
  /** Runs a statement outside a transaction. */
  runStatement(
    context: SessionContext,
    request: StatementRequest,
  ): Task<StatementResult>;
  /** Opens a transaction whose begin arrived at a time of the clock. */
  beginTransaction(
    context: SessionContext,
    route: DatabaseRoute,
    isReadOnly: boolean,
    receivedAt: number,
  ): SessionTransaction;
}

/** Runs statements on this instance's own connections. */
export const LOCAL_RUNNER: StatementRunner = {
  runStatement,
  beginTransaction: (context, route, isReadOnly, receivedAt) => {
    return new LocalTransaction(context, route, isReadOnly, receivedAt);
  },
};

import type {Task} from '../../../base/node/task';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import type {
  StatementResult,
  TransactionState,
} from '../../statement/common/statement';
import {OpenTransaction, type TransactionStep} from './open_transaction';
import type {SessionContext} from './session_context';
import {runSingle, type SingleRequest} from './single_statement';
import type {WorkStatement} from './statement_on_link';

/** A transaction that a session has open, wherever its connection is. */
export interface WorkTransaction {
  readonly state: TransactionState;
  run(
    requestId: string,
    statement: WorkStatement,
    isWrite: boolean,
  ): Task<TransactionStep>;
  commit(requestId: string): Task<TransactionStep>;
  rollback(): Task<void>;
  /** Undoes everything; the session's next statements fail. */
  giveUp(reason: string): void;
}

/** Runs the work of sessions on the members of a service. */
export interface WorkRunner {
  /** Runs a statement outside a transaction. */
  runSingle(
    context: SessionContext,
    request: SingleRequest,
  ): Task<StatementResult>;
  /** Opens a transaction that began at a time of the context's clock. */
  begin(
    context: SessionContext,
    route: DatabaseRoute,
    readOnly: boolean,
    since: number,
  ): WorkTransaction;
}

/** Runs work on this instance's own connections. */
export const LOCAL_RUNNER: WorkRunner = {
  runSingle,
  begin: (context, route, readOnly, since) => {
    return new OpenTransaction(context, route, readOnly, since);
  },
};

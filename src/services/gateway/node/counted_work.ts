import type {Task} from '../../../base/node/task';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import {
  saysNotRun,
  type StatementResult,
} from '../../statement/common/statement';
import {FAILED_STEP, type TransactionStep} from './open_transaction';
import {admitOperation, type SessionContext} from './session_context';
import type {SingleRequest} from './single_statement';
import type {WorkStatement} from './statement_on_link';
import type {WorkRunner, WorkTransaction} from './work_runner';

/**
 * Counts the operations of callers in before another runner gets them, once
 * each: at the proxy that they came to, and not again at a pooler.
 */
export class CountedRunner implements WorkRunner {
  constructor(private readonly runner: WorkRunner) {}

  *runSingle(
    context: SessionContext,
    request: SingleRequest,
  ): Task<StatementResult> {
    const {requestId, route, since} = request;
    const refused = yield* admitOperation(context, {requestId, route, since});
    if (refused) return refused;
    const result = yield* this.runner.runSingle(context, request);
    if (isNotRun(result)) context.limits.refund(context.user);
    return result;
  }

  begin(
    ...[context, route, readOnly, since]: Parameters<WorkRunner['begin']>
  ): WorkTransaction {
    const transaction = this.runner.begin(context, route, readOnly, since);
    return new CountedTransaction(transaction, context, route);
  }
}

/** A transaction that counts as one operation, with its first statement. */
class CountedTransaction implements WorkTransaction {
  private isCounted = false;
  /** It was over the limit, and nothing of it goes to the runner. */
  private isRefused = false;

  constructor(
    private readonly transaction: WorkTransaction,
    private readonly context: SessionContext,
    private readonly route: DatabaseRoute,
  ) {}

  get state(): WorkTransaction['state'] {
    return this.isRefused ? 'failed' : this.transaction.state;
  }

  *run(
    requestId: string,
    statement: WorkStatement,
    isWrite: boolean,
  ): Task<TransactionStep> {
    const {transaction} = this;
    if (this.isRefused) return FAILED_STEP;
    if (!this.mustCount) {
      return yield* transaction.run(requestId, statement, isWrite);
    }
    const refused = yield* this.countIn(requestId);
    this.isRefused = refused !== undefined;
    if (refused) return {result: refused, state: 'failed'};
    const step = yield* transaction.run(requestId, statement, isWrite);
    return this.checkFirst(step);
  }

  *commit(requestId: string): Task<TransactionStep> {
    const {transaction} = this;
    if (this.isRefused) return {...FAILED_STEP, state: 'idle'};
    if (!this.mustCount) return yield* transaction.commit(requestId);
    const refused = yield* this.countIn(requestId);
    if (refused) return {result: refused, state: 'idle'};
    return this.checkFirst(yield* transaction.commit(requestId));
  }

  rollback(): Task<void> {
    return this.transaction.rollback();
  }

  giveUp(reason: string): void {
    if (!this.isRefused) this.transaction.giveUp(reason);
  }

  /** One that was given up before its first statement runs nothing. */
  private get mustCount(): boolean {
    return !this.isCounted && this.state === 'open';
  }

  private *countIn(requestId: string): Task<StatementResult | undefined> {
    this.isCounted = true;
    const {context, route} = this;
    const since = context.clock.now();
    return yield* admitOperation(context, {requestId, route, since});
  }

  /** Where nothing was begun the operation did not run. */
  private checkFirst(step: TransactionStep): TransactionStep {
    const {context} = this;
    const isOpen = step.state === 'open';
    if (!isOpen && isNotRun(step.result)) context.limits.refund(context.user);
    return step;
  }
}

function isNotRun(result: StatementResult): boolean {
  return result.kind === 'error' && saysNotRun(result.failure);
}

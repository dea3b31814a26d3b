import type {Task} from '../../../base/node/task';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import {
  didNotRun,
  type StatementResult,
} from '../../statement/common/statement';
import {ABORTED_OUTCOME, type StatementOutcome} from './local_transaction';
import {admitOperation, type SessionContext} from './session_context';
import type {StatementRequest} from './single_statement';
import type {MemberStatement} from './statement_preparation';
import type {StatementRunner, SessionTransaction} from './statement_runner';

/**
 * Counts the operations of callers in before another runner gets them, once
 * each: at the proxy that they came to, and not again at a pooler.
 */
export class RateLimitedRunner implements StatementRunner {
  constructor(private readonly runner: StatementRunner) {}

  *runStatement(
    context: SessionContext,
    request: StatementRequest,
  ): Task<StatementResult> {
    const {requestId, route, since} = request;
    const refused = yield* admitOperation(context, {requestId, route, since});
    if (refused) return refused;
    const result = yield* this.runner.runStatement(context, request);
    if (isNotRun(result)) context.limits.refund(context.user);
    return result;
  }

  beginTransaction(
    ...[context, route, readOnly, since]: Parameters<
      StatementRunner['beginTransaction']
    >
  ): SessionTransaction {
    const transaction = this.runner.beginTransaction(
      context,
      route,
      readOnly,
      since,
    );
    return new RateLimitedTransaction(transaction, context, route);
  }
}

/** A transaction that counts as one operation, with its first statement. */
class RateLimitedTransaction implements SessionTransaction {
  private isCounted = false;
  /** It was over the limit, and nothing of it goes to the runner. */
  private isRefused = false;

  constructor(
    private readonly transaction: SessionTransaction,
    private readonly context: SessionContext,
    private readonly route: DatabaseRoute,
  ) {}

  get state(): SessionTransaction['state'] {
    return this.isRefused ? 'failed' : this.transaction.state;
  }

  *run(
    requestId: string,
    statement: MemberStatement,
    isWrite: boolean,
  ): Task<StatementOutcome> {
    const {transaction} = this;
    if (this.isRefused) return ABORTED_OUTCOME;
    if (!this.mustCount) {
      return yield* transaction.run(requestId, statement, isWrite);
    }
    const refused = yield* this.countIn(requestId);
    this.isRefused = refused !== undefined;
    if (refused) return {result: refused, state: 'failed'};
    const step = yield* transaction.run(requestId, statement, isWrite);
    return this.checkFirst(step);
  }

  *commit(requestId: string): Task<StatementOutcome> {
    const {transaction} = this;
    if (this.isRefused) return {...ABORTED_OUTCOME, state: 'idle'};
    if (!this.mustCount) return yield* transaction.commit(requestId);
    const refused = yield* this.countIn(requestId);
    if (refused) return {result: refused, state: 'idle'};
    return this.checkFirst(yield* transaction.commit(requestId));
  }

  rollback(): Task<void> {
    return this.transaction.rollback();
  }

  abort(reason: string): void {
    if (!this.isRefused) this.transaction.abort(reason);
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
  private checkFirst(step: StatementOutcome): StatementOutcome {
    const {context} = this;
    const isOpen = step.state === 'open';
    if (!isOpen && isNotRun(step.result)) context.limits.refund(context.user);
    return step;
  }
}

function isNotRun(result: StatementResult): boolean {
  return result.kind === 'error' && didNotRun(result.failure);
}

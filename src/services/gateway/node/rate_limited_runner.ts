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
 * Charges each operation to the limit of its account before it passes it on. An
 * operation is charged once, by the proxy that received it and not by a pooler.
 */
export class RateLimitedRunner implements StatementRunner {
  constructor(private readonly runner: StatementRunner) {}

  *runStatement(
    context: SessionContext,
    request: StatementRequest,
  ): Task<StatementResult> {
    const {requestId, route, receivedAt} = request;
    const refusal = yield* admitOperation(context, {
      requestId,
      route,
      receivedAt,
    });
    if (refusal) return refusal;
    const result = yield* this.runner.runStatement(context, request);
    if (isNotRun(result)) context.limits.refund(context.user);
    return result;
  }

  beginTransaction(
    ...[context, route, isReadOnly, receivedAt]: Parameters<
      StatementRunner['beginTransaction']
    >
  ): SessionTransaction {
    const transaction = this.runner.beginTransaction(
      context,
      route,
      isReadOnly,
      receivedAt,
    );
    return new RateLimitedTransaction(transaction, context, route);
  }
}

/** A transaction, charged as one operation with its first statement. */
class RateLimitedTransaction implements SessionTransaction {
  private isCharged = false;
  /** The account was over its limit; nothing is passed to the runner. */
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
    if (!this.isChargeDue) {
      return yield* transaction.run(requestId, statement, isWrite);
    }
    const refusal = yield* this.chargeOperation(requestId);
    this.isRefused = refusal !== undefined;
    if (refusal) return {result: refusal, state: 'failed'};
    const outcome = yield* transaction.run(requestId, statement, isWrite);
    return this.refundIfNotRun(outcome);
  }

  *commit(requestId: string): Task<StatementOutcome> {
    const {transaction} = this;
    if (this.isRefused) return {...ABORTED_OUTCOME, state: 'idle'};
    if (!this.isChargeDue) return yield* transaction.commit(requestId);
    const refusal = yield* this.chargeOperation(requestId);
    if (refusal) return {result: refusal, state: 'idle'};
    return this.refundIfNotRun(yield* transaction.commit(requestId));
  }

  rollback(): Task<void> {
    return this.transaction.rollback();
  }

  abort(reason: string): void {
    if (!this.isRefused) this.transaction.abort(reason);
  }

  /** False if the transaction was aborted before its first statement. */
  private get isChargeDue(): boolean {
    return !this.isCharged && this.state === 'open';
  }

  private *chargeOperation(
    requestId: string,
  ): Task<StatementResult | undefined> {
    this.isCharged = true;
    const {context, route} = this;
    const receivedAt = context.clock.now();
    return yield* admitOperation(context, {
      requestId,
      route,
      receivedAt,
    });
  }

  /** Refunds the operation if the transaction could not begin. */
  private refundIfNotRun(step: StatementOutcome): StatementOutcome {
    const {context} = this;
    const isOpen = step.state === 'open';
    if (!isOpen && isNotRun(step.result)) context.limits.refund(context.user);
    return step;
  }
}

function isNotRun(result: StatementResult): boolean {
  return result.kind === 'error' && didNotRun(result.failure);
}

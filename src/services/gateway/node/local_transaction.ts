import {sleep, type Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import {
  DONE_LOCALLY,
  failure,
  didNotRun,
  type StatementResult,
  type TargetStatement,
  type TransactionState,
} from '../../statement/common/statement';
import {
  isDone,
  isOutsideTransaction,
  type CheckedOutConnection,
  type MemberReply,
} from './checked_out_connection';
import {prepareConnection, type MemberStatement} from './statement_preparation';
import {
  tryTakeRetry,
  refusalResult,
  checkOutConnection,
  type SessionContext,
} from './session_context';

/** The result of a statement and the transaction state after it. */
export interface StatementOutcome {
  readonly result: StatementResult;
  readonly state: TransactionState;
}

const BUSY_RETRY_DELAY_MS = 15;
const MAX_ATTEMPTS = 6;
const BEGIN_TIMEOUT_MS = 500;

/**
 * A transaction on this instance's own connections. It checks a connection out
 * with its first statement, not with its begin, and holds it until it ends.
 */
export class LocalTransaction {
  private connection: CheckedOutConnection | undefined;
  private hasFailed = false;
  /** A successful commit of writes shows that the member is the primary. */
  private hasWritten = false;

  constructor(
    private readonly context: SessionContext,
    readonly route: DatabaseRoute,
    private readonly isReadOnly: boolean,
    private readonly receivedAt: number,
  ) {}

  get state(): TransactionState {
    return this.hasFailed ? 'failed' : 'open';
  }

  private get needsPrimary(): boolean {
    const {consistency} = this.route;
    return !this.isReadOnly || consistency === Consistency.CONSISTENCY_PRIMARY;
  }

  /** Rolls back; the session's next statements fail until it ends. */
  abort(reason: string): void {
    if (this.hasFailed) return;
    this.hasFailed = true;
    // Closing the connection rolls back even if the member is unresponsive.
    this.connection?.release(false);
    this.connection = undefined;
    const attempt = {instance: '', tookMs: 0, detail: reason};
    this.context.telemetry.recordFailure('-', this.route.service, attempt);
  }

  *rollback(): Task<void> {
    const {connection} = this;
    this.connection = undefined;
    if (!connection) return;
    const call = {requestId: undefined, statement: ROLLBACK};
    const [reply] = yield* connection.send([call], BEGIN_TIMEOUT_MS);
    connection.release(isOutsideTransaction(reply));
  }

  *run(
    requestId: string,
    statement: MemberStatement,
    isWrite: boolean,
  ): Task<StatementOutcome> {
    if (this.hasFailed) return ABORTED_OUTCOME;
    const deadline = this.context.clock.now() + this.route.statementMs;
    const refusal = yield* this.begin(requestId, deadline);
    if (refusal) return this.fail(refusal);
    return yield* this.runOn(
      this.connection!,
      requestId,
      statement,
      isWrite,
      deadline,
    );
  }

  *commit(requestId: string): Task<StatementOutcome> {
    if (this.hasFailed) return {...ABORTED_OUTCOME, state: 'idle'};
    const deadline = this.context.clock.now() + this.route.statementMs;
    const refusal = yield* this.begin(requestId, deadline);
    if (refusal) return {result: refusal, state: 'idle'};
    const result = yield* this.commitOn(this.connection!, requestId, deadline);
    this.connection = undefined;
    return {result, state: 'idle'};
  }

  /** Checks a connection out and begins on it; returns a refusal, if any. */
  private *begin(
    requestId: string,
    deadline: number,
  ): Task<StatementResult | undefined> {
    if (this.connection) return undefined;
    const {context, route, needsPrimary, receivedAt} = this;
    context.classes.onRequest(route.service);
    const triedInstances = new Set<string>();
    const requirements = {
      route,
      needsPrimary,
      isTransaction: true,
      receivedAt,
      deadline,
    };
    const options = {...requirements, requestId, triedInstances};
    let waitedMs = 0;
    for (let attempts = 1; ; attempts++) {
      const checkout = yield* checkOutConnection(context, {
        ...options,
        waitedMs,
      });
      if (checkout.isErr) return refusalResult(checkout.error);
      const connection = checkout.value;
      waitedMs += connection.waitedMs;
      const reason = yield* this.beginOn(connection, deadline);
      // Guard: aborted while it began, it would hold its connection for good.
      if (this.hasFailed) {
        connection.release(false);
        return ABORTED;
      }
      if (!reason) {
        this.connection = connection;
        return undefined;
      }
      triedInstances.add(connection.instance);
      const now = context.clock.now();
      const attempt = {
        instance: connection.instance,
        tookMs: 0,
        detail: reason,
        mightHaveRun: false,
      };
      const identity = {request: requestId, caller: context.caller};
      context.telemetry.recordRetry(identity, route.service, attempt);
      const isLast = attempts >= MAX_ATTEMPTS || now >= deadline;
      if (isLast || !tryTakeRetry(context, requestId, route.service, reason)) {
        return failure('busy', `${reason}, retry after 100 ms`);
      }
      yield* sleep(BUSY_RETRY_DELAY_MS);
    }
  }

  /** Begins on a connection; returns the reason for a failure, if any. */
  private *beginOn(
    connection: CheckedOutConnection,
    deadline: number,
  ): Task<string | undefined> {
    const {context, isReadOnly, needsPrimary} = this;
    const prelude = context.sessionState.statementsToRestore(
      connection.checkout.pooled,
    );
    if (!(yield* connection.runPrelude(prelude, BEGIN_TIMEOUT_MS))) {
      connection.release(false);
      return 'own statements failed';
    }
    const sentAt = context.clock.now();
    const {minPosition} = connection.checkout;
    // Only the primary accepts a read-write begin, so it suits reads that must
    // see every commit.
    const isReadWrite = needsPrimary || !minPosition;
    const statement: TargetStatement = {
      kind: 'begin',
      readOnly: isReadOnly && !isReadWrite,
    };
    const timeoutMs = Math.min(BEGIN_TIMEOUT_MS, deadline - sentAt);
    const call = {
      requestId: undefined,
      statement,
      ...(minPosition && {minPosition}),
    };
    const [reply] = yield* connection.send([call], timeoutMs);
    const isPrimary = isDone(reply) && isReadWrite;
    connection.reportObservation(
      sentAt,
      reply!,
      isPrimary ? 'primary' : undefined,
    );
    if (isDone(reply)) {
      const remainingMs = deadline - context.clock.now();
      if (
        !isReadWrite ||
        (yield* connection.confirmPrimary(remainingMs, reply))
      ) {
        return undefined;
      }
      connection.release(false);
      return 'the lead is not proved';
    }
    connection.release(isOutsideTransaction(reply));
    if (reply?.kind !== 'answer') return `lost: ${reply?.reason}`;
    return reply.result.kind === 'error' ? reply.result.failure : 'no begin';
  }

  private *runOn(
    connection: CheckedOutConnection,
    requestId: string,
    requested: MemberStatement,
    isWrite: boolean,
    deadline: number,
  ): Task<StatementOutcome> {
    const {clock} = this.context;
    const preparation = yield* prepareConnection(
      this.context,
      connection,
      requested,
    );
    if (preparation.kind === 'unknown name') {
      return {result: failure('unknown name', 'not prepared'), state: 'open'};
    }
    if (preparation.kind === 'connection failed') {
      return this.fail(failure('aborted', 'own statements failed'));
    }
    const {statement} = preparation;
    for (;;) {
      const sentAt = clock.now();
      const [reply] = yield* connection.send(
        [{requestId, statement}],
        deadline - sentAt,
      );
      connection.reportObservation(sentAt, reply!);
      if (isBusy(reply) && clock.now() + BUSY_RETRY_DELAY_MS < deadline) {
        yield* sleep(BUSY_RETRY_DELAY_MS);
        continue;
      }
      return this.outcomeOf(reply!, isWrite);
    }
  }

  private outcomeOf(reply: MemberReply, isWrite: boolean): StatementOutcome {
    if (reply.kind === 'lost') {
      // Nothing was committed, and closing the connection rolls back.
      return this.fail(failure('aborted', 'the member was lost'));
    }
    const {result, state} = reply;
    if (result.kind === 'done') {
      this.hasWritten ||= isWrite;
      return {result, state: 'open'};
    }
    if (state === 'open') return {result, state};
    const wasReplaced = result.failure === 'not primary';
    const answer = wasReplaced
      ? failure('aborted', 'the primary was replaced')
      : result;
    return this.fail(answer);
  }

  private *commitOn(
    connection: CheckedOutConnection,
    requestId: string,
    deadline: number,
  ): Task<StatementResult> {
    const {context} = this;
    const {clock, sessionState} = context;
    for (;;) {
      const sentAt = clock.now();
      const call = {requestId, statement: COMMIT};
      const [reply] = yield* connection.send([call], deadline - sentAt);
      if (isBusy(reply) && clock.now() + BUSY_RETRY_DELAY_MS < deadline) {
        yield* sleep(BUSY_RETRY_DELAY_MS);
        continue;
      }
      const isPrimary = isDone(reply) && this.hasWritten;
      connection.reportObservation(
        sentAt,
        reply!,
        isPrimary ? 'primary' : undefined,
      );
      connection.release(isOutsideTransaction(reply));
      if (reply?.kind !== 'answer') {
        const attempt = {
          instance: connection.instance,
          tookMs: clock.now() - sentAt,
          detail: `no answer to a commit: ${reply?.reason}`,
        };
        context.telemetry.recordFailure(requestId, this.route.service, attempt);
        return failure('unknown outcome', 'the commit may have taken effect');
      }
      const {result, position} = reply;
      if (result.kind === 'done') {
        if (!this.hasWritten) return result;
        const remainingMs = deadline - clock.now();
        if (!(yield* connection.confirmPrimary(remainingMs, reply))) {
          return this.unverifiedCommit(requestId, connection);
        }
        sessionState.recordCommit(position, clock.now());
        return result;
      }
      // The commit did not run, and the connection is closed or outside the
      // transaction: nothing is kept.
      if (didNotRun(result.failure)) return failure('aborted', result.failure);
      return result;
    }
  }

  /** A commit on a member that may have been replaced can be lost. */
  private unverifiedCommit(
    requestId: string,
    {instance}: CheckedOutConnection,
  ): StatementResult {
    const detail = 'committed without a lease on the primary';
    const attempt = {instance, tookMs: 0, detail};
    this.context.telemetry.recordFailure(
      requestId,
      this.route.service,
      attempt,
    );
    return failure('unknown outcome', 'the commit may be kept');
  }

  private fail(result: StatementResult): StatementOutcome {
    this.hasFailed = true;
    this.connection?.release(false);
    this.connection = undefined;
    return {result, state: 'failed'};
  }
}

const ROLLBACK: TargetStatement = {kind: 'rollback'};
const COMMIT: TargetStatement = {kind: 'commit'};

const ABORTED = failure('aborted', 'the transaction was given up');

/** The reply to statements after their transaction was aborted. */
export const ABORTED_OUTCOME: StatementOutcome = {
  result: ABORTED,
  state: 'failed',
};

function isBusy(reply: MemberReply | undefined): boolean {
  return (
    reply?.kind === 'answer' &&
    reply.result.kind === 'error' &&
    reply.result.failure === 'busy' &&
    reply.state !== 'failed'
  );
}

/** The reply to a begin, which the proxy gives without a member. */
export const BEGIN_OUTCOME: StatementOutcome = {
  result: DONE_LOCALLY,
  state: 'open',
};

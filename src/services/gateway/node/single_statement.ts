import {sleep, type Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import {
  failure,
  didNotRun,
  type StatementResult,
  type TargetCall,
  type TargetStatement,
} from '../../statement/common/statement';
import {AttemptPermits} from './attempt_permits';
import {
  isDone,
  isOutsideTransaction,
  type CheckedOutConnection,
} from './checked_out_connection';
import type {RetriedAttempt} from './request_telemetry';
import {prepareConnection, type MemberStatement} from './statement_preparation';
import {
  tryTakeRetry,
  refusalResult,
  checkOutConnection,
  type SessionContext,
} from './session_context';

/** A statement outside a transaction. */
export interface StatementRequest {
  readonly requestId: string;
  readonly statement: MemberStatement;
  readonly isWrite: boolean;
  readonly route: DatabaseRoute;
  /** When its last byte arrived. */
  readonly receivedAt: number;
}

const BUSY_RETRY_DELAY_MS = 15;
const MAX_ATTEMPTS = 6;
/**
 * A read without a reply moves on to another member after this time, which is
 * longer than a member needs to work off a full queue.
 */
const READ_TIMEOUT_MS = 350;

/** How one attempt ended. */
type AttemptOutcome =
  | {readonly kind: 'final'; readonly result: StatementResult}
  | {
      readonly kind: 'retry';
      readonly detail: string;
      readonly isBusy: boolean;
      /** The statement may have run and must not be reported as not run. */
      readonly mightHaveRun: boolean;
    };

type RetryOutcome = Extract<AttemptOutcome, {kind: 'retry'}>;

/** Runs one statement, with retries, on members that can serve it. */
export function* runStatement(
  context: SessionContext,
  request: StatementRequest,
): Task<StatementResult> {
  const {route, receivedAt, requestId} = request;
  context.classes.onRequest(route.service);
  const deadline = receivedAt + route.statementMs;
  const triedInstances = new Set<string>();
  const permits = new AttemptPermits(context, requestId, route.service);
  let mightHaveRun = false;
  let waitedMs = 0;
  for (let attempts = 1; ; attempts++) {
    const checkout = yield* checkOutConnection(context, {
      requestId,
      route,
      needsPrimary: needsPrimary(request),
      isTransaction: false,
      receivedAt,
      deadline,
      waitedMs,
      triedInstances,
    });
    if (checkout.isErr) {
      const refusal = refusalResult(checkout.error);
      permits.release();
      return mightHaveRun ? failure('timeout', 'no answer in time') : refusal;
    }
    const connection = checkout.value;
    waitedMs += connection.waitedMs;
    const startedAt = context.clock.now();
    const outcome = yield* attemptOn(context, connection, request, deadline);
    if (outcome.kind === 'final') return outcome.result;
    if (outcome.mightHaveRun) permits.onDidPossiblyRun();
    triedInstances.add(connection.instance);
    const now = context.clock.now();
    const {detail, isBusy} = outcome;
    mightHaveRun ||= outcome.mightHaveRun;
    recordRetry(context, request, {
      instance: connection.instance,
      tookMs: now - startedAt,
      detail,
      mightHaveRun: outcome.mightHaveRun,
    });
    const isLast = attempts >= MAX_ATTEMPTS || now >= deadline;
    if (isLast || !tryTakeRetry(context, requestId, route.service, detail)) {
      permits.release();
      if (mightHaveRun) return failure('timeout', detail);
      return failure(
        'busy',
        `${detail}, retry after ${BUSY_RETRY_DELAY_MS * 4} ms`,
      );
    }
    if (!(yield* permits.acquire(deadline))) return failure('timeout', detail);
    if (isBusy) yield* sleep(BUSY_RETRY_DELAY_MS * attempts);
  }
}

function recordRetry(
  {telemetry, caller}: SessionContext,
  {requestId, route}: StatementRequest,
  attempt: RetriedAttempt,
): void {
  const identity = {request: requestId, caller};
  telemetry.recordRetry(identity, route.service, attempt);
}

function retryOutcome(
  detail: string,
  overrides: Partial<RetryOutcome> = {},
): AttemptOutcome {
  return {
    kind: 'retry',
    detail,
    isBusy: false,
    mightHaveRun: false,
    ...overrides,
  };
}

/** Whether only the primary may serve the statement. */
export function needsPrimary({isWrite, route}: StatementRequest): boolean {
  return isWrite || route.consistency === Consistency.CONSISTENCY_PRIMARY;
}

function* attemptOn(
  context: SessionContext,
  connection: CheckedOutConnection,
  request: StatementRequest,
  deadline: number,
): Task<AttemptOutcome> {
  const {clock} = context;
  const preparation = yield* prepareConnection(
    context,
    connection,
    request.statement,
  );
  if (preparation.kind === 'unknown name') {
    connection.release(false);
    return {kind: 'final', result: failure('unknown name', 'not prepared')};
  }
  if (preparation.kind === 'connection failed') {
    connection.release(false);
    return retryOutcome('own statements failed');
  }
  const {statement} = preparation;
  const sentAt = clock.now();
  if (request.isWrite) {
    return yield* write(
      context,
      connection,
      request,
      statement,
      deadline - sentAt,
    );
  }
  const timeoutMs = deadline - sentAt;
  return yield* read(
    context,
    connection,
    request,
    statement,
    sentAt,
    timeoutMs,
  );
}

/**
 * Sends a write once. It is retried only if the member replies that it did not
 * run, since it could otherwise take effect twice.
 */
function* write(
  context: SessionContext,
  connection: CheckedOutConnection,
  request: StatementRequest,
  statement: TargetStatement,
  timeoutMs: number,
): Task<AttemptOutcome> {
  const {requestId, route} = request;
  const sentAt = context.clock.now();
  const [reply] = yield* connection.send([{requestId, statement}], timeoutMs);
  connection.reportObservation(
    sentAt,
    reply!,
    isDone(reply) ? 'primary' : undefined,
  );
  connection.release(isOutsideTransaction(reply));
  if (reply?.kind !== 'answer') {
    const attempt = {
      instance: connection.instance,
      tookMs: context.clock.now() - sentAt,
      detail: `no answer to a write: ${reply?.reason}`,
    };
    context.telemetry.recordFailure(requestId, route.service, attempt);
    const text = 'the write may have taken effect';
    return {kind: 'final', result: failure('unknown outcome', text)};
  }
  const {result, position} = reply;
  if (result.kind === 'done') {
    const remainingMs = timeoutMs - (context.clock.now() - sentAt);
    if (!(yield* connection.confirmPrimary(remainingMs, reply))) {
      return {
        kind: 'final',
        result: unverifiedCommit(context, request, connection),
      };
    }
    context.sessionState.recordCommit(position, context.clock.now());
    return {kind: 'final', result};
  }
  if (!didNotRun(result.failure)) return {kind: 'final', result};
  return retryOutcome(result.failure, {
    isBusy: result.failure !== 'not primary',
  });
}

/**
 * The reply to a write committed on a member that may have been replaced. The
 * write may be rolled back, so it is not acknowledged.
 */
function unverifiedCommit(
  {telemetry}: SessionContext,
  {requestId, route}: StatementRequest,
  {instance}: CheckedOutConnection,
): StatementResult {
  const detail = 'committed without a lease on the primary';
  telemetry.recordFailure(requestId, route.service, {
    instance,
    tookMs: 0,
    detail,
  });
  return failure('unknown outcome', 'the write may be kept');
}

/**
 * Sends a read. Without a minimum position, a read-write begin follows it,
 * which takes no slot and which only the primary accepts. A replaced primary may
 * still accept it and return stale data, so the lease is checked afterwards.
 */
function* read(
  {clock}: SessionContext,
  connection: CheckedOutConnection,
  request: StatementRequest,
  statement: TargetStatement,
  sentAt: number,
  timeoutMs: number,
): Task<AttemptOutcome> {
  const {requestId} = request;
  const {minPosition} = connection.checkout;
  const calls: TargetCall[] = [
    {requestId, statement, ...(minPosition && {minPosition})},
  ];
  if (!minPosition) calls.push(...PRIMARY_PROBE);
  const [reply, probeReply, rollbackReply] = yield* connection.send(
    calls,
    Math.min(timeoutMs, READ_TIMEOUT_MS),
  );
  const lastReply = minPosition ? reply : rollbackReply;
  const isPrimary = isDone(probeReply);
  connection.reportObservation(
    sentAt,
    probeReply ?? reply!,
    isPrimary ? 'primary' : undefined,
  );
  connection.release(isOutsideTransaction(lastReply));
  if (reply?.kind !== 'answer') {
    return retryOutcome(`lost: ${reply?.reason}`, {mightHaveRun: true});
  }
  const {result} = reply;
  if (result.kind === 'done') {
    if (minPosition) return {kind: 'final', result};
    const remainingMs = timeoutMs - (clock.now() - sentAt);
    const isVerified =
      isPrimary && (yield* connection.confirmPrimary(remainingMs, probeReply));
    if (isVerified) return {kind: 'final', result};
    return retryOutcome('the lead is not proved', {mightHaveRun: true});
  }
  return retryOutcome(result.failure, {
    isBusy: result.failure === 'busy',
    mightHaveRun: !didNotRun(result.failure),
  });
}

const PRIMARY_PROBE: readonly TargetCall[] = [
  {requestId: undefined, statement: {kind: 'begin', readOnly: false}},
  {requestId: undefined, statement: {kind: 'rollback'}},
];

import {pause, type Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import {
  failure,
  didNotRun,
  type StatementResult,
  type TargetCall,
  type TargetStatement,
} from '../../statement/common/statement';
import {
  isDone,
  isOutsideTransaction,
  type CheckedOutConnection,
} from './checked_out_connection';
import {prepareConnection, type MemberStatement} from './statement_preparation';
import {
  canRetry,
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
  /** When its last byte was here. */
  readonly since: number;
}

/** After a busy member, the same one may be asked again, in milliseconds. */
const BUSY_PAUSE_MS = 15;
/** A statement is tried on this many connections at most. */
const MOST_TRIES = 6;
/**
 * A read whose answer does not come is sent to another member after so many
 * times the usual answer, and not before the least: longer than a full queue
 * of a member takes, so that only lost answers and silent members count.
 */
const LOST_ANSWER_MS = 350;

/** How one try ended. */
type Try =
  | {readonly kind: 'final'; readonly result: StatementResult}
  | {
      readonly kind: 'again';
      readonly detail: string;
      readonly busy: boolean;
      /** It may have run, so that nobody may say it did not. */
      readonly mayHaveRun: boolean;
    };

type AgainTry = Extract<Try, {kind: 'again'}>;

/** Runs one statement on a member that may serve it. */
export function* runStatement(
  context: SessionContext,
  request: StatementRequest,
): Task<StatementResult> {
  const {route, since, requestId} = request;
  context.classes.onRequest(route.service);
  const deadline = since + route.statementMs;
  const passed = new Set<string>();
  let mayHaveRun = false;
  let waitedMs = 0;
  for (let tries = 1; ; tries++) {
    const taken = yield* checkOutConnection(context, {
      requestId,
      route,
      needsPrimary: needsPrimary(request),
      isTransaction: false,
      since,
      deadline,
      waitedMs,
      passed,
    });
    if (taken.isErr) {
      const refusal = refusalResult(taken.error);
      return mayHaveRun ? failure('timeout', 'no answer in time') : refusal;
    }
    const turn = taken.value;
    waitedMs += turn.waitedMs;
    const startedAt = context.clock.now();
    const outcome = yield* tryOn(context, turn, request, deadline);
    if (outcome.kind === 'final') return outcome.result;
    passed.add(turn.instance);
    const now = context.clock.now();
    const {detail, busy} = outcome;
    mayHaveRun ||= outcome.mayHaveRun;
    const attempt = {instance: turn.instance, tookMs: now - startedAt, detail};
    context.telemetry.recordRetry(requestId, route.service, attempt);
    const isLast = tries >= MOST_TRIES || now >= deadline;
    if (isLast || !canRetry(context, requestId, route.service, detail)) {
      if (mayHaveRun) return failure('timeout', detail);
      return failure('busy', `${detail}, retry after ${BUSY_PAUSE_MS * 4} ms`);
    }
    if (busy) yield* pause(BUSY_PAUSE_MS * tries);
  }
}

function again(detail: string, over: Partial<AgainTry> = {}): Try {
  return {kind: 'again', detail, busy: false, mayHaveRun: false, ...over};
}

/** Whether a statement is one for the primary only. */
export function needsPrimary({isWrite, route}: StatementRequest): boolean {
  return isWrite || route.consistency === Consistency.CONSISTENCY_PRIMARY;
}

function* tryOn(
  context: SessionContext,
  turn: CheckedOutConnection,
  request: StatementRequest,
  deadline: number,
): Task<Try> {
  const {clock} = context;
  const ready = yield* prepareConnection(context, turn, request.statement);
  if (ready.kind === 'unknown name') {
    turn.release(false);
    return {kind: 'final', result: failure('unknown name', 'not prepared')};
  }
  if (ready.kind === 'connection failed') {
    turn.release(false);
    return again('own statements failed');
  }
  const {statement} = ready;
  const askedAt = clock.now();
  if (request.isWrite) {
    return yield* write(context, turn, request, statement, deadline - askedAt);
  }
  const timeMs = deadline - askedAt;
  return yield* read(context, turn, request, statement, askedAt, timeMs);
}

/**
 * Sends a write once. After it went out, only the member's word that it did
 * not run allows another try: else it could take effect twice.
 */
function* write(
  context: SessionContext,
  turn: CheckedOutConnection,
  request: StatementRequest,
  statement: TargetStatement,
  timeMs: number,
): Task<Try> {
  const {requestId, route} = request;
  const askedAt = context.clock.now();
  const [reply] = yield* turn.send([{requestId, statement}], timeMs);
  turn.reportObservation(askedAt, reply!, isDone(reply) ? 'leads' : undefined);
  turn.release(isOutsideTransaction(reply));
  if (reply?.kind !== 'answer') {
    const attempt = {
      instance: turn.instance,
      tookMs: context.clock.now() - askedAt,
      detail: `no answer to a write: ${reply?.reason}`,
    };
    context.telemetry.recordFailure(requestId, route.service, attempt);
    const text = 'the write may have taken effect';
    return {kind: 'final', result: failure('unknown outcome', text)};
  }
  const {result, position} = reply;
  if (result.kind === 'done') {
    const left = timeMs - (context.clock.now() - askedAt);
    if (!(yield* turn.confirmPrimary(left, reply))) {
      return {kind: 'final', result: unprovenCommit(context, request, turn)};
    }
    context.sessionState.recordCommit(position, context.clock.now());
    return {kind: 'final', result};
  }
  if (!didNotRun(result.failure)) return {kind: 'final', result};
  return again(result.failure, {busy: result.failure !== 'not primary'});
}

/**
 * What a caller is told whose write was committed by a member that may have
 * been replaced: it may be rolled back, and nobody may say that it is kept.
 */
function unprovenCommit(
  {telemetry}: SessionContext,
  {requestId, route}: StatementRequest,
  {instance}: CheckedOutConnection,
): StatementResult {
  const detail = 'committed without a lease on the lead';
  telemetry.recordFailure(requestId, route.service, {
    instance,
    tookMs: 0,
    detail,
  });
  return failure('unknown outcome', 'the write may be kept');
}

/**
 * Sends a read. Where no position says what is new enough, the member says
 * behind the read that it leads: a begin is refused by one that does not, and
 * takes no slot. One that was replaced may still say so, so the lease on its
 * lead is looked at after that answer. An old primary would else answer with
 * old data.
 */
function* read(
  {clock}: SessionContext,
  turn: CheckedOutConnection,
  request: StatementRequest,
  statement: TargetStatement,
  askedAt: number,
  timeMs: number,
): Task<Try> {
  const {requestId} = request;
  const {minPosition} = turn.grant;
  const calls: TargetCall[] = [
    {requestId, statement, ...(minPosition && {minPosition})},
  ];
  if (!minPosition) calls.push(...LEAD_PROOF);
  const [reply, proof, ending] = yield* turn.send(
    calls,
    Math.min(timeMs, LOST_ANSWER_MS),
  );
  const last = minPosition ? reply : ending;
  const leads = isDone(proof);
  turn.reportObservation(askedAt, proof ?? reply!, leads ? 'leads' : undefined);
  turn.release(isOutsideTransaction(last));
  if (reply?.kind !== 'answer') {
    return again(`lost: ${reply?.reason}`, {mayHaveRun: true});
  }
  const {result} = reply;
  if (result.kind === 'done') {
    if (minPosition) return {kind: 'final', result};
    const left = timeMs - (clock.now() - askedAt);
    const proved = leads && (yield* turn.confirmPrimary(left, proof));
    if (proved) return {kind: 'final', result};
    return again('the lead is not proved', {mayHaveRun: true});
  }
  return again(result.failure, {
    busy: result.failure === 'busy',
    mayHaveRun: !didNotRun(result.failure),
  });
}

const LEAD_PROOF: readonly TargetCall[] = [
  {requestId: undefined, statement: {kind: 'begin', readOnly: false}},
  {requestId: undefined, statement: {kind: 'rollback'}},
];

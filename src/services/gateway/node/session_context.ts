import type {Clock} from '../../../base/common/clock';
import type {CallerName, MemberUser} from '../../../base/common/ids';
import {err, type Result} from '../../../base/common/outcome';
import {Reply, type Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import {MAX_WAIT_FRACTION} from '../../admission/common/wait_budget';
import type {ClassAdmission} from '../../admission/common/class_admission';
import type {
  CheckoutRequirement,
  CheckoutRefusal,
  CheckoutRequest,
} from '../../dispatch/common/checkout_request';
import type {Checkout} from '../../dispatch/node/dispatcher_messages';
import type {ServiceDispatcher} from '../../dispatch/node/service_dispatcher';
import type {OperationLimits} from '../../account/node/operation_limits';
import type {LeaseChecks} from '../../lease/common/primary_leases';
import {
  failure,
  type Failure,
  type StatementResult,
} from '../../statement/common/statement';
import type {GatewaySessionState} from '../common/gateway_session_state';
import {CheckedOutConnection} from './checked_out_connection';
import type {RequestTelemetry} from './request_telemetry';
import type {StatementRunner} from './statement_runner';

/** What the parts of one session share. */
export interface SessionContext {
  readonly caller: CallerName;
  /** Whose connections to members its work uses. */
  readonly user: MemberUser;
  readonly sessionState: GatewaySessionState;
  readonly clock: Clock;
  readonly leases: LeaseChecks;
  /** How much accounts may ask. */
  readonly limits: OperationLimits;
  readonly telemetry: RequestTelemetry;
  readonly classes: ClassAdmission;
  readonly signal: AbortSignal;
  /** Aborted once nobody waits for what the session asked. */
  readonly callerGone: AbortSignal;
  /** How long its caller waited to be greeted; 0 after its first answer. */
  startupWaitMs(): number;
  /** The route in force for the next transaction; undefined once dropped. */
  route(): DatabaseRoute | undefined;
  dispatcherOf(service: string): ServiceDispatcher;
  /** Who runs work of a service: this instance, or a pooler for it. */
  runnerOf(service: string): StatementRunner;
}

/** One request, or one transaction, as far as a place for it matters. */
export interface CheckoutOptions {
  readonly requestId: string;
  readonly route: DatabaseRoute;
  readonly needsPrimary: boolean;
  readonly isTransaction: boolean;
  /** When its first byte was here, or that of its transaction. */
  readonly since: number;
  readonly deadline: number;
  /** How long it waited for places before, in milliseconds. */
  readonly waitedMs: number;
  readonly passed: ReadonlySet<string>;
}

/** Waits for a connection to a member that may serve a wish. */
export function* checkOutConnection(
  context: SessionContext,
  wish: CheckoutOptions,
): Task<Result<CheckedOutConnection, CheckoutRefusal>> {
  const {caller, clock, telemetry, classes} = context;
  const {route, requestId} = wish;
  const {service, priority} = route;
  const kind = {service, priority, isTransaction: wish.isTransaction};
  const dispatcher = context.dispatcherOf(service);
  const asked = clock.now();
  telemetry.recordQueued(route);
  const outcome = yield* waitForPlace(context, wish, dispatcher);
  const waitedMs = clock.now() - asked;
  telemetry.recordDequeued(route, waitedMs, outcome.isOk);
  if (outcome.isErr) {
    telemetry.recordRefusal(
      {request: requestId, caller},
      route,
      outcome.error,
      waitedMs,
    );
  }
  return outcome.map(grant => {
    const onDidWork = (workMs: number) => classes.onDidWork(kind, workMs);
    const place = {grant, waitedMs, service, onDidWork};
    return new CheckedOutConnection(place, dispatcher, context);
  });
}

/**
 * Guard: a request whose caller left would keep its place in the queue, get a
 * connection and run for nobody, while others wait. It leaves the queue at
 * once, and a place that was given meanwhile goes back unused.
 */
function* waitForPlace(
  context: SessionContext,
  wish: CheckoutOptions,
  dispatcher: ServiceDispatcher,
): Task<Result<Checkout, CheckoutRefusal>> {
  const {callerGone} = context;
  const reply = new Reply<Result<Checkout, CheckoutRefusal>>();
  const request = requestFor(context, wish, reply.give);
  dispatcher.post({kind: 'request', request});
  const withdraw = () => dispatcher.post({kind: 'withdraw', request});
  if (callerGone.aborted) withdraw();
  else callerGone.addEventListener('abort', withdraw, {once: true});
  const outcome = yield* reply.wait();
  callerGone.removeEventListener('abort', withdraw);
  if (outcome.isErr || !callerGone.aborted) return outcome;
  const {pooled} = outcome.value;
  dispatcher.post({kind: 'return', returned: {pooled, isClean: true}});
  const detail = 'given back its place';
  return err({reason: 'abandoned', retryAfterMs: 0, detail});
}

function requestFor(
  context: SessionContext,
  wish: CheckoutOptions,
  settle: CheckoutRequest<Checkout>['settle'],
): CheckoutRequest<Checkout> {
  const {caller, user, sessionState, clock} = context;
  const {route, deadline, passed, waitedMs, isTransaction} = wish;
  const now = clock.now();
  const due = dueAt(context, wish);
  const {service, priority, objectiveMs} = route;
  const kind = {service, priority, isTransaction};
  const terms = {
    objectiveMs,
    statementTimeLeftMs: deadline - now,
    dueInMs: due - now,
  };
  const patienceMs = context.classes.waitBudgetMs(kind, {...terms, waitedMs});
  return {
    caller,
    user,
    priority,
    deadline,
    dueAt: due,
    requestedAt: now,
    waitBudgetMs: patienceMs,
    requirement: needOf(context, wish),
    values: sessionState.values,
    triedInstances: passed,
    settle,
  };
}

/**
 * When the caller expects its answer. The wait to be greeted counts: right
 * after a restart it is most of what the first answer takes.
 */
function dueAt(
  context: SessionContext,
  {route, since}: CheckoutOptions,
): number {
  if (route.objectiveMs === 0) return Infinity;
  return since - context.startupWaitMs() + route.objectiveMs;
}

function needOf(
  {sessionState}: SessionContext,
  {route, needsPrimary, since}: CheckoutOptions,
): CheckoutRequirement {
  if (needsPrimary) return {kind: 'primary'};
  const isSession = route.consistency === Consistency.CONSISTENCY_SESSION;
  return {
    kind: 'read',
    minReadAt: since - route.stalenessMs,
    ownCommit: isSession ? sessionState.lastCommit : undefined,
  };
}

/** An operation, as far as the limit of its account matters. */
export type RateLimitedOperation = Pick<
  CheckoutOptions,
  'requestId' | 'route' | 'since'
>;

/**
 * Counts an operation of a session's account in; the refusal of one that is
 * beyond its limit. Asked before anything is queued for it: an account over its
 * limit costs others neither a place nor a connection.
 */
export function* admitOperation(
  {caller, user, limits, telemetry, clock}: SessionContext,
  {requestId, route, since}: RateLimitedOperation,
): Task<StatementResult | undefined> {
  const askedAt = clock.now();
  const deadline = since + route.statementMs * MAX_WAIT_FRACTION;
  const admitted = yield* limits.admit(user, deadline);
  if (admitted.isOk) return undefined;
  const name = {request: requestId, caller};
  telemetry.recordRefusal(name, route, admitted.error, clock.now() - askedAt);
  return refusalResult(admitted.error);
}

/**
 * A member that says so sends a statement on: it ran nothing, and is passed
 * over for a while. Such repeats end by themselves and need no budget.
 */
const REDIRECTIONS: ReadonlySet<string> = new Set<Failure>([
  'lagging',
  'not primary',
]);

/**
 * Whether a request may be tried once more after a cause; where others have
 * used the budget of repeats up, that is logged.
 */
export function canRetry(
  {classes, telemetry}: Pick<SessionContext, 'classes' | 'telemetry'>,
  requestId: string,
  service: string,
  cause: string,
): boolean {
  if (REDIRECTIONS.has(cause) || classes.canRetry(service)) return true;
  telemetry.recordRetryBudgetExhausted(requestId, service, cause);
  return false;
}

/** What a caller is told where no place was to be had; nothing ran. */
export function refusalResult(refusal: CheckoutRefusal): StatementResult {
  const {reason, retryAfterMs} = refusal;
  return failure('busy', `${reason}, retry after ${retryAfterMs} ms`);
}

import type {Clock} from '../../../base/common/clock';
import type {CallerName, MemberUser} from '../../../base/common/ids';
import {err, type Result} from '../../../base/common/result';
import {PendingReply, type Task} from '../../../base/node/task';
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

/** The state and services that the parts of one session share. */
export interface SessionContext {
  readonly caller: CallerName;
  /** The user whose member connections the session uses. */
  readonly user: MemberUser;
  readonly sessionState: GatewaySessionState;
  readonly clock: Clock;
  readonly leases: LeaseChecks;
  /** Operation limits of the accounts. */
  readonly limits: OperationLimits;
  readonly telemetry: RequestTelemetry;
  readonly classes: ClassAdmission;
  readonly signal: AbortSignal;
  /** Aborted when nobody waits for the session's replies any more. */
  readonly callerGone: AbortSignal;
  /** How long the caller's startup took; 0 after the first reply. */
  startupWaitMs(): number;
  /** The current route for the next transaction; undefined once dropped. */
  route(): DatabaseRoute | undefined;
  dispatcherOf(service: string): ServiceDispatcher;
  /** Runs statements of a service, on this instance or through a pooler. */
  runnerOf(service: string): StatementRunner;
}

/** The properties of a statement or transaction that decide its checkout. */
export interface CheckoutOptions {
  readonly requestId: string;
  readonly route: DatabaseRoute;
  readonly needsPrimary: boolean;
  readonly isTransaction: boolean;
  /** When the request arrived, or its transaction began. */
  readonly receivedAt: number;
  readonly deadline: number;
  /** Time spent on earlier checkouts of the same request, in milliseconds. */
  readonly waitedMs: number;
  readonly triedInstances: ReadonlySet<string>;
}

/** Waits for a connection to a member that can serve the request. */
export function* checkOutConnection(
  context: SessionContext,
  options: CheckoutOptions,
): Task<Result<CheckedOutConnection, CheckoutRefusal>> {
  const {caller, clock, telemetry, classes} = context;
  const {route, requestId} = options;
  const {service, priority} = route;
  const kind = {service, priority, isTransaction: options.isTransaction};
  const dispatcher = context.dispatcherOf(service);
  const queuedAt = clock.now();
  telemetry.recordQueued(route);
  const outcome = yield* waitForCheckout(context, options, dispatcher);
  const waitedMs = clock.now() - queuedAt;
  telemetry.recordDequeued(route, waitedMs, outcome.isOk);
  if (outcome.isErr) {
    telemetry.recordRefusal(
      {request: requestId, caller},
      route,
      outcome.error,
      waitedMs,
    );
  }
  return outcome.map(checkout => {
    const onDidWork = (workMs: number) => classes.onDidWork(kind, workMs);
    const details = {checkout, waitedMs, service, onDidWork};
    return new CheckedOutConnection(details, dispatcher, context);
  });
}

/**
 * Guard: cancels the queued request when its caller disconnects, and releases
 * a connection granted meanwhile. It would otherwise occupy the queue and a
 * connection although nobody reads the reply.
 */
function* waitForCheckout(
  context: SessionContext,
  options: CheckoutOptions,
  dispatcher: ServiceDispatcher,
): Task<Result<Checkout, CheckoutRefusal>> {
  const {callerGone} = context;
  const reply = new PendingReply<Result<Checkout, CheckoutRefusal>>();
  const request = makeCheckoutRequest(context, options, reply.resolve);
  dispatcher.post({kind: 'request', request});
  const cancel = () => dispatcher.post({kind: 'cancel', request});
  if (callerGone.aborted) cancel();
  else callerGone.addEventListener('abort', cancel, {once: true});
  const outcome = yield* reply.wait();
  callerGone.removeEventListener('abort', cancel);
  if (outcome.isErr || !callerGone.aborted) return outcome;
  const {pooled} = outcome.value;
  dispatcher.post({kind: 'release', released: {pooled, isClean: true}});
  const detail = 'released the connection unused';
  return err({reason: 'abandoned', retryAfterMs: 0, detail});
}

function makeCheckoutRequest(
  context: SessionContext,
  options: CheckoutOptions,
  resolve: CheckoutRequest<Checkout>['resolve'],
): CheckoutRequest<Checkout> {
  const {caller, user, sessionState, clock} = context;
  const {route, deadline, triedInstances, waitedMs, isTransaction} = options;
  const now = clock.now();
  const answerDueAt = computeDueAt(context, options);
  const {service, priority, objectiveMs} = route;
  const kind = {service, priority, isTransaction};
  const inputs = {
    objectiveMs,
    statementTimeLeftMs: deadline - now,
    dueInMs: answerDueAt - now,
  };
  const waitBudgetMs = context.classes.waitBudgetMs(kind, {
    ...inputs,
    waitedMs,
  });
  return {
    caller,
    user,
    priority,
    deadline,
    dueAt: answerDueAt,
    requestedAt: now,
    waitBudgetMs,
    requirement: requirementOf(context, options),
    values: sessionState.values,
    triedInstances,
    resolve,
  };
}

/**
 * The time by which the route's latency objective wants a reply. Startup time
 * counts: right after a restart it dominates the latency of the first reply.
 */
function computeDueAt(
  context: SessionContext,
  {route, receivedAt}: CheckoutOptions,
): number {
  if (route.objectiveMs === 0) return Infinity;
  return receivedAt - context.startupWaitMs() + route.objectiveMs;
}

function requirementOf(
  {sessionState}: SessionContext,
  {route, needsPrimary, receivedAt}: CheckoutOptions,
): CheckoutRequirement {
  if (needsPrimary) return {kind: 'primary'};
  const isSession = route.consistency === Consistency.CONSISTENCY_SESSION;
  return {
    kind: 'read',
    minReadAt: receivedAt - route.stalenessMs,
    ownCommit: isSession ? sessionState.lastCommit : undefined,
  };
}

/** The properties of an operation that its account's limit depends on. */
export type RateLimitedOperation = Pick<
  CheckoutOptions,
  'requestId' | 'route' | 'receivedAt'
>;

/**
 * Charges an operation to the session's account; returns the refusal if the
 * account is over its limit. Runs before anything is queued, so an account over
 * its limit takes no connection from others.
 */
export function* admitOperation(
  {caller, user, limits, telemetry, clock}: SessionContext,
  {requestId, route, receivedAt}: RateLimitedOperation,
): Task<StatementResult | undefined> {
  const requestedAt = clock.now();
  const deadline = receivedAt + route.statementMs * MAX_WAIT_FRACTION;
  const admitted = yield* limits.admit(user, deadline);
  if (admitted.isOk) return undefined;
  const name = {request: requestId, caller};
  telemetry.recordRefusal(
    name,
    route,
    admitted.error,
    clock.now() - requestedAt,
  );
  return refusalResult(admitted.error);
}

/**
 * Failures with which a member redirects a statement without running it. The
 * member is skipped for a while, so these retries end without a budget.
 */
const REDIRECTIONS: ReadonlySet<string> = new Set<Failure>([
  'lagging',
  'not primary',
]);

/**
 * Whether a request may be retried after a failure. Logs a retry that the
 * exhausted retry budget of its service does not allow.
 */
export function tryTakeRetry(
  {classes, telemetry}: Pick<SessionContext, 'classes' | 'telemetry'>,
  requestId: string,
  service: string,
  cause: string,
): boolean {
  if (REDIRECTIONS.has(cause) || classes.tryTakeRetry(service)) return true;
  telemetry.recordRetryBudgetExhausted(requestId, service, cause);
  return false;
}

/** The reply to a request that got no connection and did not run. */
export function refusalResult(refusal: CheckoutRefusal): StatementResult {
  const {reason, retryAfterMs} = refusal;
  return failure('busy', `${reason}, retry after ${retryAfterMs} ms`);
}

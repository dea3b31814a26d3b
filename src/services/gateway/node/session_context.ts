import type {Clock} from '../../../base/common/clock';
import type {CallerName, MemberUser} from '../../../base/common/ids';
import {err, type Result} from '../../../base/common/outcome';
import {Reply, type Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import {WAIT_PART} from '../../admission/common/patience';
import type {ClassAdmission} from '../../admission/common/class_admission';
import type {
  PlaceNeed,
  PlaceRefusal,
  PlaceRequest,
} from '../../dispatch/common/place_request';
import type {Grant} from '../../dispatch/node/dispatcher_messages';
import type {ServiceDispatcher} from '../../dispatch/node/service_dispatcher';
import type {OperationLimits} from '../../account/node/operation_limits';
import type {LeadProofs} from '../../lease/common/lead_leases';
import {
  failure,
  type Failure,
  type StatementResult,
} from '../../statement/common/statement';
import type {SessionMemory} from '../common/session_memory';
import {MemberTurn} from './member_turn';
import type {RequestJournal} from './request_journal';
import type {WorkRunner} from './work_runner';

/** What the parts of one session share. */
export interface SessionContext {
  readonly caller: CallerName;
  /** Whose connections to members its work uses. */
  readonly user: MemberUser;
  readonly memory: SessionMemory;
  readonly clock: Clock;
  readonly leases: LeadProofs;
  /** How much accounts may ask. */
  readonly limits: OperationLimits;
  readonly journal: RequestJournal;
  readonly classes: ClassAdmission;
  readonly signal: AbortSignal;
  /** Aborted once nobody waits for what the session asked. */
  readonly gone: AbortSignal;
  /** How long its caller waited to be greeted; 0 after its first answer. */
  greetingMs(): number;
  /** The route in force for the next transaction; undefined once dropped. */
  route(): DatabaseRoute | undefined;
  dispatcherOf(service: string): ServiceDispatcher;
  /** Who runs work of a service: this instance, or a pooler for it. */
  runnerOf(service: string): WorkRunner;
}

/** One request, or one transaction, as far as a place for it matters. */
export interface PlaceWish {
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
export function* takeTurn(
  context: SessionContext,
  wish: PlaceWish,
): Task<Result<MemberTurn, PlaceRefusal>> {
  const {caller, clock, journal, classes} = context;
  const {route, requestId} = wish;
  const {service, priority} = route;
  const kind = {service, priority, isTransaction: wish.isTransaction};
  const dispatcher = context.dispatcherOf(service);
  const asked = clock.now();
  journal.onWaiting(route);
  const outcome = yield* waitForPlace(context, wish, dispatcher);
  const waitedMs = clock.now() - asked;
  journal.onPlaced(route, waitedMs, outcome.isOk);
  if (outcome.isErr) {
    journal.onRefused(
      {request: requestId, caller},
      route,
      outcome.error,
      waitedMs,
    );
  }
  return outcome.map(grant => {
    const onDidWork = (workMs: number) => classes.onWorked(kind, workMs);
    const place = {grant, waitedMs, service, onDidWork};
    return new MemberTurn(place, dispatcher, context);
  });
}

/**
 * Guard: a request whose caller left would keep its place in the queue, get a
 * connection and run for nobody, while others wait. It leaves the queue at
 * once, and a place that was given meanwhile goes back unused.
 */
function* waitForPlace(
  context: SessionContext,
  wish: PlaceWish,
  dispatcher: ServiceDispatcher,
): Task<Result<Grant, PlaceRefusal>> {
  const {gone} = context;
  const reply = new Reply<Result<Grant, PlaceRefusal>>();
  const request = requestFor(context, wish, reply.give);
  dispatcher.post({kind: 'request', request});
  const withdraw = () => dispatcher.post({kind: 'withdraw', request});
  if (gone.aborted) withdraw();
  else gone.addEventListener('abort', withdraw, {once: true});
  const outcome = yield* reply.wait();
  gone.removeEventListener('abort', withdraw);
  if (outcome.isErr || !gone.aborted) return outcome;
  const {pooled} = outcome.value;
  dispatcher.post({kind: 'return', returned: {pooled, clean: true}});
  const detail = 'given back its place';
  return err({reason: 'abandoned', retryAfterMs: 0, detail});
}

function requestFor(
  context: SessionContext,
  wish: PlaceWish,
  settle: PlaceRequest<Grant>['settle'],
): PlaceRequest<Grant> {
  const {caller, user, memory, clock} = context;
  const {route, deadline, passed, waitedMs, isTransaction} = wish;
  const now = clock.now();
  const due = dueAt(context, wish);
  const {service, priority, objectiveMs} = route;
  const kind = {service, priority, isTransaction};
  const terms = {objectiveMs, timeMs: deadline - now, dueInMs: due - now};
  const patienceMs = context.classes.patienceOf(kind, {...terms, waitedMs});
  return {
    caller,
    user,
    priority,
    deadline,
    dueAt: due,
    since: now,
    patienceMs,
    need: needOf(context, wish),
    values: memory.values,
    passed,
    settle,
  };
}

/**
 * When the caller expects its answer. The wait to be greeted counts: right
 * after a restart it is most of what the first answer takes.
 */
function dueAt(context: SessionContext, {route, since}: PlaceWish): number {
  if (route.objectiveMs === 0) return Infinity;
  return since - context.greetingMs() + route.objectiveMs;
}

function needOf(
  {memory}: SessionContext,
  {route, needsPrimary, since}: PlaceWish,
): PlaceNeed {
  if (needsPrimary) return {kind: 'primary'};
  const isSession = route.consistency === Consistency.CONSISTENCY_SESSION;
  return {
    kind: 'read',
    coversTime: since - route.stalenessMs,
    own: isSession ? memory.own : undefined,
  };
}

/** An operation, as far as the limit of its account matters. */
export type OperationWish = Pick<PlaceWish, 'requestId' | 'route' | 'since'>;

/**
 * Counts an operation of a session's account in; the refusal of one that is
 * beyond its limit. Asked before anything is queued for it: an account over its
 * limit costs others neither a place nor a connection.
 */
export function* admitOperation(
  {caller, user, limits, journal, clock}: SessionContext,
  {requestId, route, since}: OperationWish,
): Task<StatementResult | undefined> {
  const askedAt = clock.now();
  const deadline = since + route.statementMs * WAIT_PART;
  const admitted = yield* limits.admit(user, deadline);
  if (admitted.isOk) return undefined;
  const name = {request: requestId, caller};
  journal.onRefused(name, route, admitted.error, clock.now() - askedAt);
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
export function mayRepeat(
  {classes, journal}: Pick<SessionContext, 'classes' | 'journal'>,
  requestId: string,
  service: string,
  cause: string,
): boolean {
  if (REDIRECTIONS.has(cause) || classes.mayRepeat(service)) return true;
  journal.onNotRepeated(requestId, service, cause);
  return false;
}

/** What a caller is told where no place was to be had; nothing ran. */
export function refusalResult(refusal: PlaceRefusal): StatementResult {
  const {reason, retryAfterMs} = refusal;
  return failure('busy', `${reason}, retry after ${retryAfterMs} ms`);
}

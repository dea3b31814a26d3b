import type {Clock} from '../../../base/common/clock';
import type {CallerName, MemberUser} from '../../../base/common/ids';
import type {Result} from '../../../base/common/outcome';
import {Reply, type Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import type {
  PlaceNeed,
  PlaceRefusal,
} from '../../dispatch/common/place_request';
import type {Grant} from '../../dispatch/node/dispatcher_messages';
import type {ServiceDispatcher} from '../../dispatch/node/service_dispatcher';
import type {OperationLimits} from '../../account/node/operation_limits';
import type {LeadProofs} from '../../lease/common/lead_leases';
import {failure, type StatementResult} from '../../statement/common/statement';
import type {SessionMemory} from '../common/session_memory';
import {MemberTurn} from './member_turn';
import type {RequestJournal} from './request_journal';
import type {WorkRunner} from './work_runner';

/** How long a request may wait for a place, as a part of its time. */
const WAIT_PART = 0.5;
/** The same, as a part of what its caller expects of a whole operation. */
const PATIENCE_PART = 0.25;

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
  readonly signal: AbortSignal;
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
  const {caller, user, memory, clock} = context;
  const {route, deadline, passed, requestId} = wish;
  const dispatcher = context.dispatcherOf(route.service);
  const reply = new Reply<Result<Grant, PlaceRefusal>>();
  const asked = clock.now();
  const due = dueAt(context, wish);
  const isOverdue = due <= asked;
  const patienceMs = patienceOf(route, deadline - asked, isOverdue);
  dispatcher.post({
    kind: 'request',
    request: {
      caller,
      user,
      priority: route.priority,
      deadline,
      dueAt: due,
      since: asked,
      patienceMs: patienceMs - wish.waitedMs,
      need: needOf(context, wish),
      values: memory.values,
      passed,
      settle: reply.give,
    },
  });
  const outcome = yield* reply.wait();
  const waitedMs = clock.now() - asked;
  context.journal.onPlaced(route, waitedMs);
  if (outcome.isErr) {
    const name = {request: requestId, caller};
    context.journal.onRefused(name, route, outcome.error, waitedMs);
  }
  return outcome.map(grant => {
    const {service} = route;
    return new MemberTurn({grant, waitedMs, service}, dispatcher, context);
  });
}

/**
 * How long a request may wait for a place, in milliseconds. After a quarter of
 * what its caller expects of it, three quarters are left for another instance
 * and for the work; a request that waited longer mostly came too late. One
 * that is late already gains nothing by asking elsewhere, and would use up its
 * caller's tries: it waits for longer.
 */
function patienceOf(
  {objectiveMs}: DatabaseRoute,
  timeMs: number,
  isOverdue: boolean,
): number {
  const most = timeMs * WAIT_PART;
  if (objectiveMs === 0 || isOverdue) return most;
  return Math.min(most, objectiveMs * PATIENCE_PART);
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

/** What a caller is told where no place was to be had; nothing ran. */
export function refusalResult(refusal: PlaceRefusal): StatementResult {
  const {reason, retryAfterMs} = refusal;
  return failure('busy', `${reason}, retry after ${retryAfterMs} ms`);
}

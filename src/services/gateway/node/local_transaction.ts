import {pause, type Task} from '../../../base/node/task';
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
  canRetry,
  refusalResult,
  checkOutConnection,
  type SessionContext,
} from './session_context';

/** How a statement of a transaction ended, and the state after it. */
export interface StatementOutcome {
  readonly result: StatementResult;
  readonly state: TransactionState;
}

const BUSY_PAUSE_MS = 15;
const MOST_TRIES = 6;
const BEGIN_MS = 500;

/**
 * One transaction of a session. It takes a connection with its first
 * statement, not with its begin, and keeps it to its end.
 */
export class LocalTransaction {
  private turn: CheckedOutConnection | undefined;
  private failed = false;
  /** Something was written: its commit proves that the member led. */
  private wrote = false;

  constructor(
    private readonly context: SessionContext,
    readonly route: DatabaseRoute,
    private readonly readOnly: boolean,
    private readonly since: number,
  ) {}

  get state(): TransactionState {
    return this.failed ? 'failed' : 'open';
  }

  private get needsPrimary(): boolean {
    const {consistency} = this.route;
    return !this.readOnly || consistency === Consistency.CONSISTENCY_PRIMARY;
  }

  /** Undoes everything; the session's next statements fail. */
  abort(reason: string): void {
    if (this.failed) return;
    this.failed = true;
    // Closing the connection rolls back, also where it no longer answers.
    this.turn?.release(false);
    this.turn = undefined;
    const attempt = {instance: '', tookMs: 0, detail: reason};
    this.context.telemetry.recordFailure('-', this.route.service, attempt);
  }

  /** Ends without a commit. */
  *rollback(): Task<void> {
    const {turn} = this;
    this.turn = undefined;
    if (!turn) return;
    const call = {requestId: undefined, statement: ROLLBACK};
    const [reply] = yield* turn.send([call], BEGIN_MS);
    turn.release(isOutsideTransaction(reply));
  }

  *run(
    requestId: string,
    statement: MemberStatement,
    isWrite: boolean,
  ): Task<StatementOutcome> {
    if (this.failed) return ABORTED_OUTCOME;
    const deadline = this.context.clock.now() + this.route.statementMs;
    const refused = yield* this.begin(requestId, deadline);
    if (refused) return this.fail(refused);
    return yield* this.runOn(
      this.turn!,
      requestId,
      statement,
      isWrite,
      deadline,
    );
  }

  *commit(requestId: string): Task<StatementOutcome> {
    if (this.failed) return {...ABORTED_OUTCOME, state: 'idle'};
    const deadline = this.context.clock.now() + this.route.statementMs;
    const refused = yield* this.begin(requestId, deadline);
    if (refused) return {result: refused, state: 'idle'};
    const result = yield* this.commitOn(this.turn!, requestId, deadline);
    this.turn = undefined;
    return {result, state: 'idle'};
  }

  /** Takes a connection and begins there; the refusal where it cannot. */
  private *begin(
    requestId: string,
    deadline: number,
  ): Task<StatementResult | undefined> {
    if (this.turn) return undefined;
    const {context, route, needsPrimary, since} = this;
    context.classes.onRequest(route.service);
    const passed = new Set<string>();
    const terms = {route, needsPrimary, isTransaction: true, since, deadline};
    const wish = {...terms, requestId, passed};
    let waitedMs = 0;
    for (let tries = 1; ; tries++) {
      const taken = yield* checkOutConnection(context, {...wish, waitedMs});
      if (taken.isErr) return refusalResult(taken.error);
      const turn = taken.value;
      waitedMs += turn.waitedMs;
      const trouble = yield* this.beginOn(turn, deadline);
      // Guard: given up while it began, it would hold its connection for good.
      if (this.failed) {
        turn.release(false);
        return GIVEN_UP;
      }
      if (!trouble) {
        this.turn = turn;
        return undefined;
      }
      passed.add(turn.instance);
      const now = context.clock.now();
      const attempt = {instance: turn.instance, tookMs: 0, detail: trouble};
      context.telemetry.recordRetry(requestId, route.service, attempt);
      const isLast = tries >= MOST_TRIES || now >= deadline;
      if (isLast || !canRetry(context, requestId, route.service, trouble)) {
        return failure('busy', `${trouble}, retry after 100 ms`);
      }
      yield* pause(BUSY_PAUSE_MS);
    }
  }

  /** Begins on a connection; why it could not, and undefined if it could. */
  private *beginOn(
    turn: CheckedOutConnection,
    deadline: number,
  ): Task<string | undefined> {
    const {context, readOnly, needsPrimary} = this;
    const prelude = context.sessionState.statementsToRestore(turn.grant.pooled);
    if (!(yield* turn.runPrelude(prelude, BEGIN_MS))) {
      turn.release(false);
      return 'own statements failed';
    }
    const askedAt = context.clock.now();
    const {minPosition} = turn.grant;
    // A plain transaction is one that a member without the lead refuses, so
    // it serves where every commit must be seen.
    const plain = needsPrimary || !minPosition;
    const statement: TargetStatement = {
      kind: 'begin',
      readOnly: readOnly && !plain,
    };
    const timeMs = Math.min(BEGIN_MS, deadline - askedAt);
    const call = {
      requestId: undefined,
      statement,
      ...(minPosition && {minPosition}),
    };
    const [reply] = yield* turn.send([call], timeMs);
    const leads = isDone(reply) && plain;
    turn.reportObservation(askedAt, reply!, leads ? 'leads' : undefined);
    if (isDone(reply)) {
      const left = deadline - context.clock.now();
      if (!plain || (yield* turn.confirmPrimary(left, reply))) {
        return undefined;
      }
      turn.release(false);
      return 'the lead is not proved';
    }
    turn.release(isOutsideTransaction(reply));
    if (reply?.kind !== 'answer') return `lost: ${reply?.reason}`;
    return reply.result.kind === 'error' ? reply.result.failure : 'no begin';
  }

  private *runOn(
    turn: CheckedOutConnection,
    requestId: string,
    asked: MemberStatement,
    isWrite: boolean,
    deadline: number,
  ): Task<StatementOutcome> {
    const {clock} = this.context;
    const ready = yield* prepareConnection(this.context, turn, asked);
    if (ready.kind === 'unknown name') {
      return {result: failure('unknown name', 'not prepared'), state: 'open'};
    }
    if (ready.kind === 'connection failed') {
      return this.fail(failure('aborted', 'own statements failed'));
    }
    const {statement} = ready;
    for (;;) {
      const askedAt = clock.now();
      const [reply] = yield* turn.send(
        [{requestId, statement}],
        deadline - askedAt,
      );
      turn.reportObservation(askedAt, reply!);
      if (isBusy(reply) && clock.now() + BUSY_PAUSE_MS < deadline) {
        yield* pause(BUSY_PAUSE_MS);
        continue;
      }
      return this.stepOf(reply!, isWrite);
    }
  }

  private stepOf(reply: MemberReply, isWrite: boolean): StatementOutcome {
    if (reply.kind === 'lost') {
      // Nothing was committed, and the close of the connection rolls back.
      return this.fail(failure('aborted', 'the member was lost'));
    }
    const {result, state} = reply;
    if (result.kind === 'done') {
      this.wrote ||= isWrite;
      return {result, state: 'open'};
    }
    if (state === 'open') return {result, state};
    const lostLead = result.failure === 'not primary';
    const told = lostLead
      ? failure('aborted', 'the primary was replaced')
      : result;
    return this.fail(told);
  }

  private *commitOn(
    turn: CheckedOutConnection,
    requestId: string,
    deadline: number,
  ): Task<StatementResult> {
    const {context} = this;
    const {clock, sessionState} = context;
    for (;;) {
      const askedAt = clock.now();
      const call = {requestId, statement: COMMIT};
      const [reply] = yield* turn.send([call], deadline - askedAt);
      if (isBusy(reply) && clock.now() + BUSY_PAUSE_MS < deadline) {
        yield* pause(BUSY_PAUSE_MS);
        continue;
      }
      const leads = isDone(reply) && this.wrote;
      turn.reportObservation(askedAt, reply!, leads ? 'leads' : undefined);
      turn.release(isOutsideTransaction(reply));
      if (reply?.kind !== 'answer') {
        const attempt = {
          instance: turn.instance,
          tookMs: clock.now() - askedAt,
          detail: `no answer to a commit: ${reply?.reason}`,
        };
        context.telemetry.recordFailure(requestId, this.route.service, attempt);
        return failure('unknown outcome', 'the commit may have taken effect');
      }
      const {result, position} = reply;
      if (result.kind === 'done') {
        if (!this.wrote) return result;
        const left = deadline - clock.now();
        if (!(yield* turn.confirmPrimary(left, reply))) {
          return this.unproven(requestId, turn);
        }
        sessionState.recordCommit(position, clock.now());
        return result;
      }
      // The member says that the commit did not run, and the connection is
      // closed or outside the transaction: nothing is kept.
      if (didNotRun(result.failure)) return failure('aborted', result.failure);
      return result;
    }
  }

  /** The commit of a member that may have been replaced may be undone. */
  private unproven(
    requestId: string,
    {instance}: CheckedOutConnection,
  ): StatementResult {
    const detail = 'committed without a lease on the lead';
    const attempt = {instance, tookMs: 0, detail};
    this.context.telemetry.recordFailure(
      requestId,
      this.route.service,
      attempt,
    );
    return failure('unknown outcome', 'the commit may be kept');
  }

  private fail(result: StatementResult): StatementOutcome {
    this.failed = true;
    this.turn?.release(false);
    this.turn = undefined;
    return {result, state: 'failed'};
  }
}

const ROLLBACK: TargetStatement = {kind: 'rollback'};
const COMMIT: TargetStatement = {kind: 'commit'};

const GIVEN_UP = failure('aborted', 'the transaction was given up');

/** The answer to what follows once a transaction was given up. */
export const ABORTED_OUTCOME: StatementOutcome = {
  result: GIVEN_UP,
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

/** The answer to a begin: the system gives it itself. */
export const BEGIN_OUTCOME: StatementOutcome = {
  result: DONE_LOCALLY,
  state: 'open',
};

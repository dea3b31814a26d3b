import {pause, type Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import {
  DONE_HERE,
  failure,
  saysNotRun,
  type StatementResult,
  type TargetStatement,
  type TransactionState,
} from '../../statement/common/statement';
import {
  isDone,
  isOutside,
  type MemberTurn,
  type TurnReply,
} from './member_turn';
import {makeReady, type WorkStatement} from './statement_on_link';
import {refusalResult, takeTurn, type SessionContext} from './session_context';

/** How a statement of a transaction ended, and the state after it. */
export interface TransactionStep {
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
export class OpenTransaction {
  private turn: MemberTurn | undefined;
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
  giveUp(reason: string): void {
    if (this.failed) return;
    this.failed = true;
    // Closing the connection rolls back, also where it no longer answers.
    this.turn?.end(false);
    this.turn = undefined;
    const attempt = {instance: '', tookMs: 0, detail: reason};
    this.context.journal.onFailed('-', this.route.service, attempt);
  }

  /** Ends without a commit. */
  *rollback(): Task<void> {
    const {turn} = this;
    this.turn = undefined;
    if (!turn) return;
    const call = {requestId: undefined, statement: ROLLBACK};
    const [reply] = yield* turn.ask([call], BEGIN_MS);
    turn.end(isOutside(reply));
  }

  *run(
    requestId: string,
    statement: WorkStatement,
    isWrite: boolean,
  ): Task<TransactionStep> {
    if (this.failed) return FAILED_STEP;
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

  *commit(requestId: string): Task<TransactionStep> {
    if (this.failed) return {...FAILED_STEP, state: 'idle'};
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
    const passed = new Set<string>();
    const wish = {requestId, route, needsPrimary, since, deadline, passed};
    let waitedMs = 0;
    for (let tries = 1; ; tries++) {
      const taken = yield* takeTurn(context, {...wish, waitedMs});
      if (taken.isErr) return refusalResult(taken.error);
      const turn = taken.value;
      waitedMs += turn.waitedMs;
      const trouble = yield* this.beginOn(turn, deadline);
      if (!trouble) {
        this.turn = turn;
        return undefined;
      }
      passed.add(turn.instance);
      const now = context.clock.now();
      const attempt = {instance: turn.instance, tookMs: 0, detail: trouble};
      context.journal.onRepeated(requestId, route.service, attempt);
      if (tries >= MOST_TRIES || now >= deadline) {
        return failure('busy', `${trouble}, retry after 100 ms`);
      }
      yield* pause(BUSY_PAUSE_MS);
    }
  }

  /** Begins on a connection; why it could not, and undefined if it could. */
  private *beginOn(
    turn: MemberTurn,
    deadline: number,
  ): Task<string | undefined> {
    const {context, readOnly, needsPrimary} = this;
    const prelude = context.memory.valuesFor(turn.grant.pooled);
    if (!(yield* turn.prepare(prelude, BEGIN_MS))) {
      turn.end(false);
      return 'own statements failed';
    }
    const askedAt = context.clock.now();
    const {after} = turn.grant;
    // A plain transaction is one that a member without the lead refuses, so
    // it serves where every commit must be seen.
    const plain = needsPrimary || !after;
    const statement: TargetStatement = {
      kind: 'begin',
      readOnly: readOnly && !plain,
    };
    const timeMs = Math.min(BEGIN_MS, deadline - askedAt);
    const call = {requestId: undefined, statement, ...(after && {after})};
    const [reply] = yield* turn.ask([call], timeMs);
    const leads = isDone(reply) && plain;
    turn.observe(askedAt, reply!, leads ? 'leads' : undefined);
    if (isDone(reply)) {
      const left = deadline - context.clock.now();
      if (!plain || (yield* turn.confirmLead(left, reply))) {
        return undefined;
      }
      turn.end(false);
      return 'the lead is not proved';
    }
    turn.end(isOutside(reply));
    if (reply?.kind !== 'answer') return `lost: ${reply?.reason}`;
    return reply.result.kind === 'error' ? reply.result.failure : 'no begin';
  }

  private *runOn(
    turn: MemberTurn,
    requestId: string,
    asked: WorkStatement,
    isWrite: boolean,
    deadline: number,
  ): Task<TransactionStep> {
    const {clock} = this.context;
    const ready = yield* makeReady(this.context, turn, asked);
    if (ready.kind === 'unknown name') {
      return {result: failure('unknown name', 'not prepared'), state: 'open'};
    }
    if (ready.kind === 'connection failed') {
      return this.fail(failure('aborted', 'own statements failed'));
    }
    const {statement} = ready;
    for (;;) {
      const askedAt = clock.now();
      const [reply] = yield* turn.ask(
        [{requestId, statement}],
        deadline - askedAt,
      );
      turn.observe(askedAt, reply!);
      if (isBusy(reply) && clock.now() + BUSY_PAUSE_MS < deadline) {
        yield* pause(BUSY_PAUSE_MS);
        continue;
      }
      return this.stepOf(reply!, isWrite);
    }
  }

  private stepOf(reply: TurnReply, isWrite: boolean): TransactionStep {
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
    turn: MemberTurn,
    requestId: string,
    deadline: number,
  ): Task<StatementResult> {
    const {context} = this;
    const {clock, memory} = context;
    for (;;) {
      const askedAt = clock.now();
      const call = {requestId, statement: COMMIT};
      const [reply] = yield* turn.ask([call], deadline - askedAt);
      if (isBusy(reply) && clock.now() + BUSY_PAUSE_MS < deadline) {
        yield* pause(BUSY_PAUSE_MS);
        continue;
      }
      const leads = isDone(reply) && this.wrote;
      turn.observe(askedAt, reply!, leads ? 'leads' : undefined);
      turn.end(isOutside(reply));
      if (reply?.kind !== 'answer') {
        const attempt = {
          instance: turn.instance,
          tookMs: clock.now() - askedAt,
          detail: `no answer to a commit: ${reply?.reason}`,
        };
        context.journal.onFailed(requestId, this.route.service, attempt);
        return failure('unknown outcome', 'the commit may have taken effect');
      }
      const {result, position} = reply;
      if (result.kind === 'done') {
        if (!this.wrote) return result;
        const left = deadline - clock.now();
        if (!(yield* turn.confirmLead(left, reply))) {
          return this.unproven(requestId, turn);
        }
        memory.onCommit(position, clock.now());
        return result;
      }
      // The member says that the commit did not run, and the connection is
      // closed or outside the transaction: nothing is kept.
      if (saysNotRun(result.failure)) return failure('aborted', result.failure);
      return result;
    }
  }

  /** The commit of a member that may have been replaced may be undone. */
  private unproven(requestId: string, {instance}: MemberTurn): StatementResult {
    const detail = 'committed without a lease on the lead';
    const attempt = {instance, tookMs: 0, detail};
    this.context.journal.onFailed(requestId, this.route.service, attempt);
    return failure('unknown outcome', 'the commit may be kept');
  }

  private fail(result: StatementResult): TransactionStep {
    this.failed = true;
    this.turn?.end(false);
    this.turn = undefined;
    return {result, state: 'failed'};
  }
}

const ROLLBACK: TargetStatement = {kind: 'rollback'};
const COMMIT: TargetStatement = {kind: 'commit'};

/** The answer to what follows once a transaction was given up. */
export const FAILED_STEP: TransactionStep = {
  result: failure('aborted', 'the transaction was given up'),
  state: 'failed',
};

function isBusy(reply: TurnReply | undefined): boolean {
  return (
    reply?.kind === 'answer' &&
    reply.result.kind === 'error' &&
    reply.result.failure === 'busy' &&
    reply.state !== 'failed'
  );
}

/** The answer to a begin: the system gives it itself. */
export const BEGUN: TransactionStep = {result: DONE_HERE, state: 'open'};

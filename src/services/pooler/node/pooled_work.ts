import {callerName, memberUser} from '../../../base/common/ids';
import {startTask, type Task} from '../../../base/node/task';
import {ownController} from '../../../base/node/timers';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import {WorkScope, type WorkRequest} from '../../../schema/generated/pooler';
import {GatewaySessionState} from '../../gateway/common/gateway_session_state';
import type {Gateway} from '../../gateway/node/gateway';
import type {StatementOutcome} from '../../gateway/node/local_transaction';
import type {SessionContext} from '../../gateway/node/session_context';
import {
  LOCAL_RUNNER,
  type SessionTransaction,
} from '../../gateway/node/statement_runner';
import {comparePositions, type Position} from '../../position/common/position';
import {
  DONE_LOCALLY,
  failure,
  type CallerReply,
} from '../../statement/common/statement';
import {
  applyPrepared,
  applySession,
  decodeStep,
  decodeTerms,
  type DecodedStep,
} from '../common/pooler_messages';

/** One statement or one transaction that another proxy sent. */
export class PooledWork {
  private readonly memory = new GatewaySessionState();
  private readonly gone = ownController();
  private context: SessionContext | undefined;
  private route: DatabaseRoute | undefined;
  private transaction: SessionTransaction | undefined;
  private over = false;

  constructor(
    private readonly gateway: Gateway,
    private readonly signal: AbortSignal,
  ) {}

  /** Whether its last statement was answered. */
  get isOver(): boolean {
    return this.over;
  }

  /** Whose members it needs; undefined before its first step. */
  get service(): string | undefined {
    return this.route?.service;
  }

  /** Runs one step and hands out its outcome; a proxy sends one at a time. */
  run(request: WorkRequest, answer: (reply: CallerReply) => void): void {
    void startTask('pooled work', () => this.runStep(request, answer));
  }

  /** What waits for a place leaves the queue. */
  cancel(reason: string): void {
    this.gone.abort();
    this.transaction?.abort(reason);
  }

  private *runStep(
    request: WorkRequest,
    answer: (reply: CallerReply) => void,
  ): Task<void> {
    const {result, state} = yield* this.outcomeOf(request);
    this.over = state === 'idle';
    answer({result, state, position: this.committedSince(request)});
  }

  /** What this step committed; undefined where it committed nothing. */
  private committedSince({session}: WorkRequest): Position | undefined {
    const own = this.memory.lastCommit?.position;
    const before = session?.ownCommit;
    if (!own || !before) return own;
    return comparePositions(own, before) > 0 ? own : undefined;
  }

  private *outcomeOf(request: WorkRequest): Task<StatementOutcome> {
    const {step, session, terms, scope} = request;
    const decoded = step && decodeStep(step);
    if (!decoded || !session) return INVALID;
    const now = this.gateway.now();
    applySession(session, this.memory, now);
    applyPrepared(decoded, this.memory);
    if (terms) this.route = decodeTerms(terms);
    const {route} = this;
    if (!route) return INVALID;
    const since = now - request.ageMs;
    this.context ??= this.gateway.makeSessionContext(
      {caller: callerName(session.caller), user: memberUser(session.user)},
      this.memory,
      () => this.route,
      this.signal,
      undefined,
      this.gone.signal,
    );
    if (scope === WorkScope.WORK_SCOPE_SINGLE) {
      return yield* this.runSingle(request, decoded, this.context, since);
    }
    if (scope !== WorkScope.WORK_SCOPE_CONTINUE) {
      const readOnly = scope === WorkScope.WORK_SCOPE_BEGIN_READ;
      this.transaction = LOCAL_RUNNER.beginTransaction(
        this.context,
        route,
        readOnly,
        since,
      );
      const wasGivenUp = this.gone.signal.aborted;
      if (wasGivenUp) this.transaction.abort('given up before it began');
    }
    return yield* this.runInTransaction(request.requestId, decoded);
  }

  private *runSingle(
    {requestId}: WorkRequest,
    {statement, prepared}: DecodedStep,
    context: SessionContext,
    since: number,
  ): Task<StatementOutcome> {
    const {kind} = statement;
    if (kind === 'commit' || kind === 'rollback') return INVALID;
    const isWrite = kind === 'write' || prepared?.action === 'write';
    const route = this.route!;
    const single = {requestId, statement, isWrite, route, since};
    const result = yield* LOCAL_RUNNER.runStatement(context, single);
    return {result, state: 'idle'};
  }

  private *runInTransaction(
    requestId: string,
    {statement, prepared}: DecodedStep,
  ): Task<StatementOutcome> {
    const {transaction} = this;
    if (!transaction) return INVALID;
    switch (statement.kind) {
      case 'commit':
        return yield* transaction.commit(requestId);
      case 'rollback':
        yield* transaction.rollback();
        return {result: DONE_LOCALLY, state: 'idle'};
      default: {
        const isWrite =
          statement.kind === 'write' || prepared?.action === 'write';
        return yield* transaction.run(requestId, statement, isWrite);
      }
    }
  }
}

/** A proxy of another version asked for something that is not known here. */
const INVALID: StatementOutcome = {
  result: failure('aborted', 'a message that the pooler does not know'),
  state: 'idle',
};

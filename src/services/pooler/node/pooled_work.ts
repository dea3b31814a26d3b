import {callerName, memberUser} from '../../../base/common/ids';
import {spawnTask, type Task} from '../../../base/node/task';
import {createAbortController} from '../../../base/node/timers';
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

/** A statement or a transaction that another proxy sent. */
export class PooledWork {
  private readonly sessionState = new GatewaySessionState();
  private readonly cancellation = createAbortController();
  private context: SessionContext | undefined;
  private route: DatabaseRoute | undefined;
  private transaction: SessionTransaction | undefined;
  private hasEnded = false;

  constructor(
    private readonly gateway: Gateway,
    private readonly signal: AbortSignal,
  ) {}

  /** Whether the last statement was answered. */
  get isOver(): boolean {
    return this.hasEnded;
  }

  /** The service that it uses; undefined before the first step. */
  get service(): string | undefined {
    return this.route?.service;
  }

  /**
   * Runs one step and passes its result to `onDidFinish`. A proxy sends the
   * steps of a transaction one at a time.
   */
  run(request: WorkRequest, onDidFinish: (reply: CallerReply) => void): void {
    spawnTask('pooled work', () => this.runStep(request, onDidFinish));
  }

  /**
   * Rolls back the transaction and removes a queued statement from the queue.
   */
  cancel(reason: string): void {
    this.cancellation.abort();
    this.transaction?.abort(reason);
  }

  private *runStep(
    request: WorkRequest,
    onDidFinish: (reply: CallerReply) => void,
  ): Task<void> {
    const {result, state} = yield* this.runDecoded(request);
    this.hasEnded = state === 'idle';
    onDidFinish({result, state, position: this.commitOf(request)});
  }

  /** The commit position of this step; undefined if it committed nothing. */
  private commitOf({session}: WorkRequest): Position | undefined {
    const lastCommit = this.sessionState.lastCommit?.position;
    const previous = session?.ownCommit;
    if (!lastCommit || !previous) return lastCommit;
    return comparePositions(lastCommit, previous) > 0 ? lastCommit : undefined;
  }

  private *runDecoded(request: WorkRequest): Task<StatementOutcome> {
    const {step, session, terms, scope} = request;
    const decoded = step && decodeStep(step);
    if (!decoded || !session) return INVALID;
    const now = this.gateway.now();
    applySession(session, this.sessionState, now);
    applyPrepared(decoded, this.sessionState);
    if (terms) this.route = decodeTerms(terms);
    const {route} = this;
    if (!route) return INVALID;
    const receivedAt = now - request.ageMs;
    this.context ??= this.gateway.makeSessionContext(
      {caller: callerName(session.caller), user: memberUser(session.user)},
      this.sessionState,
      () => this.route,
      this.signal,
      undefined,
      this.cancellation.signal,
    );
    if (scope === WorkScope.WORK_SCOPE_SINGLE) {
      return yield* this.runSingle(request, decoded, this.context, receivedAt);
    }
    if (scope !== WorkScope.WORK_SCOPE_CONTINUE) {
      const readOnly = scope === WorkScope.WORK_SCOPE_BEGIN_READ;
      this.transaction = LOCAL_RUNNER.beginTransaction(
        this.context,
        route,
        readOnly,
        receivedAt,
      );
      const isCancelled = this.cancellation.signal.aborted;
      if (isCancelled) this.transaction.abort('given up before it began');
    }
    return yield* this.runInTransaction(request.requestId, decoded);
  }

  private *runSingle(
    {requestId}: WorkRequest,
    {statement, prepared}: DecodedStep,
    context: SessionContext,
    receivedAt: number,
  ): Task<StatementOutcome> {
    const {kind} = statement;
    if (kind === 'commit' || kind === 'rollback') return INVALID;
    const isWrite = kind === 'write' || prepared?.action === 'write';
    const route = this.route!;
    const statementRequest = {
      requestId,
      statement,
      isWrite,
      route,
      receivedAt,
    };
    const result = yield* LOCAL_RUNNER.runStatement(context, statementRequest);
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

/** Sent for a message of a kind that this version does not know. */
const INVALID: StatementOutcome = {
  result: failure('aborted', 'a message that the pooler does not know'),
  state: 'idle',
};

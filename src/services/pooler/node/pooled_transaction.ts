import {detach} from '../../../base/node/broken_invariant';
import type {Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import {
  WorkAction,
  WorkScope,
  type WorkRequest,
  type WorkStep,
} from '../../../schema/generated/pooler';
import {AttemptPermits} from '../../gateway/node/attempt_permits';
import type {StatementOutcome} from '../../gateway/node/local_transaction';
import {
  tryTakeRetry,
  refusalResult,
  type SessionContext,
} from '../../gateway/node/session_context';
import type {MemberStatement} from '../../gateway/node/statement_preparation';
import {
  LOCAL_RUNNER,
  type SessionTransaction,
} from '../../gateway/node/statement_runner';
import {
  failure,
  type CallerReply,
  type StatementResult,
  type TransactionState,
} from '../../statement/common/statement';
import {
  encodeSession,
  encodeStep,
  encodeTerms,
  toWholeMilliseconds,
} from '../common/pooler_messages';
import type {PoolerRequirements} from '../common/pooler_ranking';
import {callPooler, acquireLink} from './pooler_call';
import type {PoolerDirectory} from './pooler_directory';
import {PoolerLink} from './pooler_link';
import type {PoolerSelector} from './pooler_selector';

/** The link and the request id of a transaction at its pooler. */
interface RemoteTransaction {
  readonly link: PoolerLink;
  readonly work: number;
}

/**
 * A transaction that runs at a pooler. The pooler is selected for the first
 * statement and stays the same until the end.
 */
export class PooledTransaction implements SessionTransaction {
  private remote: RemoteTransaction | undefined;
  /** Whether the first statement was sent. */
  private hasBegun = false;
  private hasFailed = false;
  /** The local transaction used if no pooler could be reached at the start. */
  private local: SessionTransaction | undefined;

  constructor(
    private readonly directory: PoolerDirectory,
    private readonly selector: PoolerSelector,
    private readonly context: SessionContext,
    private readonly route: DatabaseRoute,
    private readonly isReadOnly: boolean,
    private readonly startedAt: number,
  ) {}

  get state(): TransactionState {
    if (this.local) return this.local.state;
    return this.hasFailed ? 'failed' : 'open';
  }

  abort(reason: string): void {
    if (this.local) return this.local.abort(reason);
    if (this.hasFailed) return;
    this.markFailed();
    const attempt = {instance: '', tookMs: 0, detail: reason};
    this.context.telemetry.recordFailure('-', this.route.service, attempt);
  }

  /** The caller does not wait for the pooler to roll back. */
  *rollback(): Task<void> {
    if (this.local) return yield* this.local.rollback();
    const {remote} = this;
    this.remote = undefined;
    if (!remote) return;
    const step = encodeStep({kind: 'rollback'}, this.context.sessionState)!;
    const request = this.requestFor(remote.work, '-', step, false);
    detach(
      'message to a pooler',
      remote.link.send(request, {isRetryable: true}),
    );
  }

  *run(
    requestId: string,
    statement: MemberStatement,
    isWrite: boolean,
  ): Task<StatementOutcome> {
    if (this.hasFailed) return {result: ABORTED, state: 'failed'};
    const refusal = yield* this.ensureStarted(requestId);
    if (refusal) {
      this.markFailed();
      return {result: refusal, state: 'failed'};
    }
    if (this.local) return yield* this.local.run(requestId, statement, isWrite);
    const step = encodeStep(statement, this.context.sessionState);
    if (!step) {
      const result = failure('unknown name', 'not prepared');
      return {result, state: 'open'};
    }
    const reply = yield* this.send(requestId, step);
    if (!reply) return this.abortWith('the pooler was lost');
    const {result, state} = reply;
    if (state !== 'open') this.markFailed();
    return {result, state: this.state};
  }

  *commit(requestId: string): Task<StatementOutcome> {
    if (this.hasFailed) return {result: ABORTED, state: 'idle'};
    const refusal = yield* this.ensureStarted(requestId);
    if (refusal) return {result: refusal, state: 'idle'};
    if (this.local) return yield* this.local.commit(requestId);
    const step = encodeStep({kind: 'commit'}, this.context.sessionState)!;
    const reply = yield* this.send(requestId, step);
    this.remote = undefined;
    return {
      result: reply?.result ?? this.unknownOutcome(requestId),
      state: 'idle',
    };
  }

  /**
   * Selects a pooler for the first statement, or begins the transaction
   * locally. Returns a refusal if the wait would be too long at all poolers.
   */
  private *ensureStarted(requestId: string): Task<StatementResult | undefined> {
    if (this.remote || this.local) return undefined;
    const {context, route, isReadOnly, startedAt} = this;
    const acquired = yield* this.acquireLink(NONE_EXCLUDED);
    if (!acquired) {
      this.local = LOCAL_RUNNER.beginTransaction(
        context,
        route,
        isReadOnly,
        startedAt,
      );
      return undefined;
    }
    const {requirements} = this;
    const deadline = context.clock.now() + route.statementMs;
    const work = {
      route,
      requirements,
      receivedAt: startedAt,
      deadline,
      requestId,
    };
    const link = this.selector.select(context, acquired, work);
    if (!(link instanceof PoolerLink)) return refusalResult(link);
    this.remote = {link, work: link.nextWorkId()};
    context.classes.onRequest(route.service);
    return undefined;
  }

  /**
   * Sends one step. The first one is retried at another pooler if its reply
   * does not arrive: without a commit, the first pooler rolls it back.
   */
  private *send(
    requestId: string,
    step: WorkStep,
  ): Task<CallerReply | undefined> {
    const {context, route} = this;
    const deadline = context.clock.now() + route.statementMs;
    const isCommit = step.action === WorkAction.WORK_ACTION_COMMIT;
    const isFirst = !this.hasBegun;
    this.hasBegun = true;
    const isRetryable = isFirst && !isCommit;
    const excluded = new Set<PoolerLink>();
    const permits = new AttemptPermits(context, requestId, route.service);
    for (let remote = this.remote; remote; remote = this.remote) {
      const {link, work} = remote;
      const request = this.requestFor(work, requestId, step, isFirst);
      const reply = yield* callPooler(context, {
        link,
        request,
        deadline,
        isRetryable: isRetryable,
      });
      const isLate = context.clock.now() >= deadline;
      const isOver = isLate || context.callerGone.aborted;
      if (reply || !isRetryable || isOver) return reply;
      link.cancel(work);
      excluded.add(link);
      const detail = 'no answer';
      context.telemetry.recordRetry(
        {request: requestId, caller: context.caller},
        route.service,
        {instance: link.address, tookMs: 0, detail, mightHaveRun: true},
      );
      const mayRetry = tryTakeRetry(context, requestId, route.service, detail);
      if (!mayRetry) return undefined;
      const next = yield* this.acquireLink(excluded);
      permits.onDidPossiblyRun();
      if (next && !(yield* permits.acquire(deadline))) return undefined;
      this.remote = next && {link: next, work: next.nextWorkId()};
    }
    return undefined;
  }

  private acquireLink(
    excluded: ReadonlySet<PoolerLink>,
  ): Task<PoolerLink | undefined> {
    return acquireLink(
      this.directory,
      this.context,
      this.requirements,
      excluded,
    );
  }

  private get requirements(): PoolerRequirements {
    const {context, route, isReadOnly} = this;
    const isStrict = route.consistency === Consistency.CONSISTENCY_PRIMARY;
    return {
      service: route.service,
      user: context.user,
      needsPrimary: !isReadOnly || isStrict,
    };
  }

  private requestFor(
    work: number,
    requestId: string,
    step: WorkStep,
    isFirst: boolean,
  ): WorkRequest {
    const {context, route, isReadOnly, startedAt} = this;
    const now = context.clock.now();
    const begin = isReadOnly
      ? WorkScope.WORK_SCOPE_BEGIN_READ
      : WorkScope.WORK_SCOPE_BEGIN;
    return {
      work,
      requestId,
      scope: isFirst ? begin : WorkScope.WORK_SCOPE_CONTINUE,
      step,
      ageMs: toWholeMilliseconds(now - startedAt),
      session: encodeSession(context, now),
      terms: isFirst ? encodeTerms(route) : undefined,
    };
  }

  /** Without a commit nothing is kept, whatever happened to the pooler. */
  private abortWith(text: string): StatementOutcome {
    this.markFailed();
    return {result: failure('aborted', text), state: 'failed'};
  }

  private unknownOutcome(requestId: string): StatementResult {
    const detail = 'no answer to a commit: the pooler was lost';
    const attempt = {instance: '', tookMs: 0, detail};
    this.context.telemetry.recordFailure(
      requestId,
      this.route.service,
      attempt,
    );
    return failure('unknown outcome', 'the commit may have taken effect');
  }

  private markFailed(): void {
    this.hasFailed = true;
    this.remote?.link.cancel(this.remote.work);
    this.remote = undefined;
  }
}

const NONE_EXCLUDED: ReadonlySet<PoolerLink> = new Set();

const ABORTED = failure('aborted', 'the transaction was given up');

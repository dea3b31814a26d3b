import type {Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import {
  WorkAction,
  WorkScope,
  type WorkRequest,
  type WorkStep,
} from '../../../schema/generated/pooler';
import type {StatementOutcome} from '../../gateway/node/local_transaction';
import {
  canRetry,
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

/** Where a transaction is: at a pooler, under a name on its link. */
interface Place {
  readonly link: PoolerLink;
  readonly work: number;
}

/**
 * A transaction whose connection a pooler has. It goes to one with its first
 * statement and stays there to its end.
 */
export class PooledTransaction implements SessionTransaction {
  private place: Place | undefined;
  /** Its first statement was sent. */
  private begun = false;
  private failed = false;
  /** Runs it here instead, where no pooler could be reached at its start. */
  private local: SessionTransaction | undefined;

  constructor(
    private readonly directory: PoolerDirectory,
    private readonly waits: PoolerSelector,
    private readonly context: SessionContext,
    private readonly route: DatabaseRoute,
    private readonly readOnly: boolean,
    private readonly since: number,
  ) {}

  get state(): TransactionState {
    if (this.local) return this.local.state;
    return this.failed ? 'failed' : 'open';
  }

  abort(reason: string): void {
    if (this.local) return this.local.abort(reason);
    if (this.failed) return;
    this.fail();
    const attempt = {instance: '', tookMs: 0, detail: reason};
    this.context.telemetry.recordFailure('-', this.route.service, attempt);
  }

  /** The pooler rolls back by itself; the caller need not wait for that. */
  *rollback(): Task<void> {
    if (this.local) return yield* this.local.rollback();
    const {place} = this;
    this.place = undefined;
    if (!place) return;
    const step = encodeStep({kind: 'rollback'}, this.context.sessionState)!;
    const request = this.requestFor(place.work, '-', step, false);
    void place.link.send(request, {isRetryable: true});
  }

  *run(
    requestId: string,
    statement: MemberStatement,
    isWrite: boolean,
  ): Task<StatementOutcome> {
    if (this.failed) return {result: GIVEN_UP, state: 'failed'};
    const refused = yield* this.find(requestId);
    if (refused) {
      this.fail();
      return {result: refused, state: 'failed'};
    }
    if (this.local) return yield* this.local.run(requestId, statement, isWrite);
    const step = encodeStep(statement, this.context.sessionState);
    if (!step) {
      const result = failure('unknown name', 'not prepared');
      return {result, state: 'open'};
    }
    const outcome = yield* this.send(requestId, step);
    if (!outcome) return this.lost('the pooler was lost');
    const {result, state} = outcome;
    if (state !== 'open') this.fail();
    return {result, state: this.state};
  }

  *commit(requestId: string): Task<StatementOutcome> {
    if (this.failed) return {result: GIVEN_UP, state: 'idle'};
    const refused = yield* this.find(requestId);
    if (refused) return {result: refused, state: 'idle'};
    if (this.local) return yield* this.local.commit(requestId);
    const step = encodeStep({kind: 'commit'}, this.context.sessionState)!;
    const outcome = yield* this.send(requestId, step);
    this.place = undefined;
    return {result: outcome?.result ?? this.unknown(requestId), state: 'idle'};
  }

  /**
   * Finds a pooler for the first statement, or begins here without one; the
   * refusal where it would wait too long at each.
   */
  private *find(requestId: string): Task<StatementResult | undefined> {
    if (this.place || this.local) return undefined;
    const {context, route, readOnly, since} = this;
    const found = yield* this.takeLink(NO_LINKS);
    if (!found) {
      this.local = LOCAL_RUNNER.beginTransaction(
        context,
        route,
        readOnly,
        since,
      );
      return undefined;
    }
    const {wish} = this;
    const deadline = context.clock.now() + route.statementMs;
    const work = {route, wish, since, deadline, requestId};
    const link = this.waits.select(context, found, work);
    if (!(link instanceof PoolerLink)) return refusalResult(link);
    this.place = {link, work: link.nextWorkId()};
    context.classes.onRequest(route.service);
    return undefined;
  }

  /**
   * Sends one step. The first one may go to another pooler where its answer
   * does not come: without a commit, what it did at the first one is undone.
   */
  private *send(
    requestId: string,
    step: WorkStep,
  ): Task<CallerReply | undefined> {
    const {context, route} = this;
    const deadline = context.clock.now() + route.statementMs;
    const isCommit = step.action === WorkAction.WORK_ACTION_COMMIT;
    const isFirst = !this.begun;
    this.begun = true;
    const repeatable = isFirst && !isCommit;
    const passed = new Set<PoolerLink>();
    for (let place = this.place; place; place = this.place) {
      const {link, work} = place;
      const request = this.requestFor(work, requestId, step, isFirst);
      const outcome = yield* callPooler(context, {
        link,
        request,
        deadline,
        isRetryable: repeatable,
      });
      const isLate = context.clock.now() >= deadline;
      const isOver = isLate || context.callerGone.aborted;
      if (outcome || !repeatable || isOver) return outcome;
      link.cancel(work);
      passed.add(link);
      const attempt = {instance: link.address, tookMs: 0, detail: 'no answer'};
      context.telemetry.recordRetry(requestId, route.service, attempt);
      const {detail} = attempt;
      const isRepeated = canRetry(context, requestId, route.service, detail);
      if (!isRepeated) return undefined;
      const next = yield* this.takeLink(passed);
      this.place = next && {link: next, work: next.nextWorkId()};
    }
    return undefined;
  }

  private takeLink(
    passed: ReadonlySet<PoolerLink>,
  ): Task<PoolerLink | undefined> {
    return acquireLink(this.directory, this.context, this.wish, passed);
  }

  private get wish(): PoolerRequirements {
    const {context, route, readOnly} = this;
    const isStrict = route.consistency === Consistency.CONSISTENCY_PRIMARY;
    return {
      service: route.service,
      user: context.user,
      needsPrimary: !readOnly || isStrict,
    };
  }

  private requestFor(
    work: number,
    requestId: string,
    step: WorkStep,
    isFirst: boolean,
  ): WorkRequest {
    const {context, route, readOnly, since} = this;
    const now = context.clock.now();
    const begin = readOnly
      ? WorkScope.WORK_SCOPE_BEGIN_READ
      : WorkScope.WORK_SCOPE_BEGIN;
    return {
      work,
      requestId,
      scope: isFirst ? begin : WorkScope.WORK_SCOPE_CONTINUE,
      step,
      ageMs: toWholeMilliseconds(now - since),
      session: encodeSession(context, now),
      terms: isFirst ? encodeTerms(route) : undefined,
    };
  }

  /** Without a commit nothing is kept, whatever became of the pooler. */
  private lost(text: string): StatementOutcome {
    this.fail();
    return {result: failure('aborted', text), state: 'failed'};
  }

  private unknown(requestId: string): StatementResult {
    const detail = 'no answer to a commit: the pooler was lost';
    const attempt = {instance: '', tookMs: 0, detail};
    this.context.telemetry.recordFailure(
      requestId,
      this.route.service,
      attempt,
    );
    return failure('unknown outcome', 'the commit may have taken effect');
  }

  private fail(): void {
    this.failed = true;
    this.place?.link.cancel(this.place.work);
    this.place = undefined;
  }
}

const NO_LINKS: ReadonlySet<PoolerLink> = new Set();

const GIVEN_UP = failure('aborted', 'the transaction was given up');

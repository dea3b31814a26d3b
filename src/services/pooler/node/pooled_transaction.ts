import type {Task} from '../../../base/node/task';
import {Consistency, type DatabaseRoute} from '../../../schema/generated/fleet';
import {
  WorkAction,
  WorkScope,
  type WorkRequest,
  type WorkStep,
} from '../../../schema/generated/pooler';
import type {TransactionStep} from '../../gateway/node/open_transaction';
import {
  mayRepeat,
  refusalResult,
  type SessionContext,
} from '../../gateway/node/session_context';
import type {WorkStatement} from '../../gateway/node/statement_on_link';
import {
  LOCAL_RUNNER,
  type WorkTransaction,
} from '../../gateway/node/work_runner';
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
  wholeAge,
} from '../common/pooler_messages';
import type {PoolerWish} from '../common/choose_pooler';
import {callPooler, takeLink} from './pooler_call';
import type {PoolerDirectory} from './pooler_directory';
import {PoolerLink} from './pooler_link';
import type {WaitDecision} from './wait_decision';

/** Where a transaction is: at a pooler, under a name on its link. */
interface Place {
  readonly link: PoolerLink;
  readonly work: number;
}

/**
 * A transaction whose connection a pooler has. It goes to one with its first
 * statement and stays there to its end.
 */
export class PooledTransaction implements WorkTransaction {
  private place: Place | undefined;
  /** Its first statement was sent. */
  private begun = false;
  private failed = false;
  /** Runs it here instead, where no pooler could be reached at its start. */
  private local: WorkTransaction | undefined;

  constructor(
    private readonly directory: PoolerDirectory,
    private readonly waits: WaitDecision,
    private readonly context: SessionContext,
    private readonly route: DatabaseRoute,
    private readonly readOnly: boolean,
    private readonly since: number,
  ) {}

  get state(): TransactionState {
    if (this.local) return this.local.state;
    return this.failed ? 'failed' : 'open';
  }

  giveUp(reason: string): void {
    if (this.local) return this.local.giveUp(reason);
    if (this.failed) return;
    this.fail();
    const attempt = {instance: '', tookMs: 0, detail: reason};
    this.context.journal.onFailed('-', this.route.service, attempt);
  }

  /** The pooler rolls back by itself; the caller need not wait for that. */
  *rollback(): Task<void> {
    if (this.local) return yield* this.local.rollback();
    const {place} = this;
    this.place = undefined;
    if (!place) return;
    const step = encodeStep({kind: 'rollback'}, this.context.memory)!;
    const request = this.requestFor(place.work, '-', step, false);
    void place.link.send(request, {repeatable: true});
  }

  *run(
    requestId: string,
    statement: WorkStatement,
    isWrite: boolean,
  ): Task<TransactionStep> {
    if (this.failed) return {result: GIVEN_UP, state: 'failed'};
    const refused = yield* this.find(requestId);
    if (refused) {
      this.fail();
      return {result: refused, state: 'failed'};
    }
    if (this.local) return yield* this.local.run(requestId, statement, isWrite);
    const step = encodeStep(statement, this.context.memory);
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

  *commit(requestId: string): Task<TransactionStep> {
    if (this.failed) return {result: GIVEN_UP, state: 'idle'};
    const refused = yield* this.find(requestId);
    if (refused) return {result: refused, state: 'idle'};
    if (this.local) return yield* this.local.commit(requestId);
    const step = encodeStep({kind: 'commit'}, this.context.memory)!;
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
      this.local = LOCAL_RUNNER.begin(context, route, readOnly, since);
      return undefined;
    }
    const {wish} = this;
    const deadline = context.clock.now() + route.statementMs;
    const work = {route, wish, since, deadline, requestId};
    const link = this.waits.decide(context, found, work);
    if (!(link instanceof PoolerLink)) return refusalResult(link);
    this.place = {link, work: link.nextWork()};
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
        repeatable,
      });
      const isLate = context.clock.now() >= deadline;
      const isOver = isLate || context.gone.aborted;
      if (outcome || !repeatable || isOver) return outcome;
      link.abandon(work);
      passed.add(link);
      const attempt = {instance: link.address, tookMs: 0, detail: 'no answer'};
      context.journal.onRepeated(requestId, route.service, attempt);
      const {detail} = attempt;
      const isRepeated = mayRepeat(context, requestId, route.service, detail);
      if (!isRepeated) return undefined;
      const next = yield* this.takeLink(passed);
      this.place = next && {link: next, work: next.nextWork()};
    }
    return undefined;
  }

  private takeLink(
    passed: ReadonlySet<PoolerLink>,
  ): Task<PoolerLink | undefined> {
    return takeLink(this.directory, this.context, this.wish, passed);
  }

  private get wish(): PoolerWish {
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
      ageMs: wholeAge(now - since),
      session: encodeSession(context, now),
      terms: isFirst ? encodeTerms(route) : undefined,
    };
  }

  /** Without a commit nothing is kept, whatever became of the pooler. */
  private lost(text: string): TransactionStep {
    this.fail();
    return {result: failure('aborted', text), state: 'failed'};
  }

  private unknown(requestId: string): StatementResult {
    const detail = 'no answer to a commit: the pooler was lost';
    const attempt = {instance: '', tookMs: 0, detail};
    this.context.journal.onFailed(requestId, this.route.service, attempt);
    return failure('unknown outcome', 'the commit may have taken effect');
  }

  private fail(): void {
    this.failed = true;
    this.place?.link.abandon(this.place.work);
    this.place = undefined;
  }
}

const NO_LINKS: ReadonlySet<PoolerLink> = new Set();

const GIVEN_UP = failure('aborted', 'the transaction was given up');

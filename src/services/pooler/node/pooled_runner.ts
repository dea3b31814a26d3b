import type {Task} from '../../../base/node/task';
import {WorkScope} from '../../../schema/generated/pooler';
import type {Attempt} from '../../gateway/node/request_journal';
import {
  mayRepeat,
  refusalResult,
  type SessionContext,
} from '../../gateway/node/session_context';
import {
  needsPrimary,
  type SingleRequest,
} from '../../gateway/node/single_statement';
import {LOCAL_RUNNER, type WorkRunner} from '../../gateway/node/work_runner';
import {
  failure,
  saysNotRun,
  type StatementResult,
} from '../../statement/common/statement';
import {
  encodeSession,
  encodeStep,
  encodeTerms,
  wholeAge,
} from '../common/pooler_messages';
import {PooledTransaction} from './pooled_transaction';
import {callPooler, takeLink} from './pooler_call';
import type {PoolerDirectory} from './pooler_directory';
import {PoolerLink} from './pooler_link';
import {WaitDecision} from './wait_decision';

/**
 * Poolers that a read is sent to at most. One that answers nothing may be busy
 * rather than gone, and then each repetition is work on top.
 */
const MOST_POOLERS = 2;

/** Runs sessions' work at the poolers of their services. */
export class PooledRunner implements WorkRunner {
  private readonly waits: WaitDecision;

  constructor(private readonly directory: PoolerDirectory) {
    this.waits = new WaitDecision(directory);
  }

  *runSingle(
    context: SessionContext,
    request: SingleRequest,
  ): Task<StatementResult> {
    const {directory} = this;
    const {route, requestId, statement, since, isWrite} = request;
    const step = encodeStep(statement, context.memory);
    if (!step) return failure('unknown name', 'not prepared');
    const deadline = since + route.statementMs;
    const passed = new Set<PoolerLink>();
    const wish = {
      service: route.service,
      user: context.user,
      needsPrimary: needsPrimary(request),
    };
    for (;;) {
      const found = yield* takeLink(directory, context, wish, passed);
      if (!found) {
        const result = yield* LOCAL_RUNNER.runSingle(context, request);
        return passed.size === 0 ? result : mayHaveRun(result);
      }
      // What was sent before may have run, and is not refused as not run.
      const isFirst = passed.size === 0;
      const work = {route, wish, since, deadline, requestId};
      const link = isFirst ? this.waits.decide(context, found, work) : found;
      if (!(link instanceof PoolerLink)) return refusalResult(link);
      if (isFirst) context.classes.onRequest(route.service);
      const now = context.clock.now();
      const outcome = yield* callPooler(context, {
        link,
        deadline,
        repeatable: !isWrite,
        request: {
          work: link.nextWork(),
          requestId,
          scope: WorkScope.WORK_SCOPE_SINGLE,
          step,
          ageMs: wholeAge(now - since),
          session: encodeSession(context, now),
          terms: encodeTerms(route),
        },
      });
      if (outcome) return outcome.result;
      if (context.gone.aborted) return failure('timeout', 'the caller left');
      const tookMs = context.clock.now() - now;
      const attempt = {instance: link.address, tookMs, detail: 'no answer'};
      passed.add(link);
      const isLate = context.clock.now() >= deadline;
      const isLast = isLate || passed.size >= MOST_POOLERS;
      const result = endUnanswered(context, request, attempt, isLast);
      if (result) return result;
    }
  }

  begin(
    ...[context, route, readOnly, since]: Parameters<WorkRunner['begin']>
  ): PooledTransaction {
    return new PooledTransaction(
      this.directory,
      this.waits,
      context,
      route,
      readOnly,
      since,
    );
  }
}

/**
 * The outcome of a read that was sent to a pooler before. Guard: it may have run
 * there, so nobody may say that it did not.
 */
function mayHaveRun(result: StatementResult): StatementResult {
  const isRefused = result.kind === 'error' && saysNotRun(result.failure);
  return isRefused ? failure('timeout', 'no answer from the pooler') : result;
}

/** What a caller is told without an answer; undefined to ask another pooler. */
function endUnanswered(
  context: SessionContext,
  {requestId, route: {service}, isWrite}: SingleRequest,
  attempt: Attempt,
  isLast: boolean,
): StatementResult | undefined {
  const {journal} = context;
  if (isWrite) {
    journal.onFailed(requestId, service, attempt);
    return failure('unknown outcome', 'the write may have taken effect');
  }
  journal.onRepeated(requestId, service, attempt);
  const {detail} = attempt;
  if (!isLast && mayRepeat(context, requestId, service, detail)) {
    return undefined;
  }
  return failure('timeout', 'no answer from the pooler');
}

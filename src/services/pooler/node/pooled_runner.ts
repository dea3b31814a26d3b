import type {Task} from '../../../base/node/task';
import {WorkScope} from '../../../schema/generated/pooler';
import type {Attempt} from '../../gateway/node/request_telemetry';
import {
  canRetry,
  refusalResult,
  type SessionContext,
} from '../../gateway/node/session_context';
import {
  needsPrimary,
  type StatementRequest,
} from '../../gateway/node/single_statement';
import {
  LOCAL_RUNNER,
  type StatementRunner,
} from '../../gateway/node/statement_runner';
import {
  failure,
  didNotRun,
  type StatementResult,
} from '../../statement/common/statement';
import {
  encodeSession,
  encodeStep,
  encodeTerms,
  toWholeMilliseconds,
} from '../common/pooler_messages';
import {PooledTransaction} from './pooled_transaction';
import {callPooler, acquireLink} from './pooler_call';
import type {PoolerDirectory} from './pooler_directory';
import {PoolerLink} from './pooler_link';
import {PoolerSelector} from './pooler_selector';

/**
 * Poolers that a read is sent to at most. One that answers nothing may be busy
 * rather than gone, and then each repetition is work on top.
 */
const MOST_POOLERS = 2;

/** Runs sessions' work at the poolers of their services. */
export class PooledRunner implements StatementRunner {
  private readonly waits: PoolerSelector;

  constructor(private readonly directory: PoolerDirectory) {
    this.waits = new PoolerSelector(directory);
  }

  *runStatement(
    context: SessionContext,
    request: StatementRequest,
  ): Task<StatementResult> {
    const {directory} = this;
    const {route, requestId, statement, since, isWrite} = request;
    const step = encodeStep(statement, context.sessionState);
    if (!step) return failure('unknown name', 'not prepared');
    const deadline = since + route.statementMs;
    const passed = new Set<PoolerLink>();
    const wish = {
      service: route.service,
      user: context.user,
      needsPrimary: needsPrimary(request),
    };
    for (;;) {
      const found = yield* acquireLink(directory, context, wish, passed);
      if (!found) {
        const result = yield* LOCAL_RUNNER.runStatement(context, request);
        return passed.size === 0 ? result : mayHaveRun(result);
      }
      // What was sent before may have run, and is not refused as not run.
      const isFirst = passed.size === 0;
      const work = {route, wish, since, deadline, requestId};
      const link = isFirst ? this.waits.select(context, found, work) : found;
      if (!(link instanceof PoolerLink)) return refusalResult(link);
      if (isFirst) context.classes.onRequest(route.service);
      const now = context.clock.now();
      const outcome = yield* callPooler(context, {
        link,
        deadline,
        isRetryable: !isWrite,
        request: {
          work: link.nextWorkId(),
          requestId,
          scope: WorkScope.WORK_SCOPE_SINGLE,
          step,
          ageMs: toWholeMilliseconds(now - since),
          session: encodeSession(context, now),
          terms: encodeTerms(route),
        },
      });
      if (outcome) return outcome.result;
      if (context.callerGone.aborted) {
        return failure('timeout', 'the caller left');
      }
      const tookMs = context.clock.now() - now;
      const attempt = {instance: link.address, tookMs, detail: 'no answer'};
      passed.add(link);
      const isLate = context.clock.now() >= deadline;
      const isLast = isLate || passed.size >= MOST_POOLERS;
      const result = endUnanswered(context, request, attempt, isLast);
      if (result) return result;
    }
  }

  beginTransaction(
    ...[context, route, readOnly, since]: Parameters<
      StatementRunner['beginTransaction']
    >
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
  const isRefused = result.kind === 'error' && didNotRun(result.failure);
  return isRefused ? failure('timeout', 'no answer from the pooler') : result;
}

/** What a caller is told without an answer; undefined to ask another pooler. */
function endUnanswered(
  context: SessionContext,
  {requestId, route: {service}, isWrite}: StatementRequest,
  attempt: Attempt,
  isLast: boolean,
): StatementResult | undefined {
  const {telemetry} = context;
  if (isWrite) {
    telemetry.recordFailure(requestId, service, attempt);
    return failure('unknown outcome', 'the write may have taken effect');
  }
  telemetry.recordRetry(requestId, service, attempt);
  const {detail} = attempt;
  if (!isLast && canRetry(context, requestId, service, detail)) {
    return undefined;
  }
  return failure('timeout', 'no answer from the pooler');
}

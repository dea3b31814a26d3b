import type {Task} from '../../../base/node/task';
import {WorkScope} from '../../../schema/generated/pooler';
import {AttemptPermits} from '../../gateway/node/attempt_permits';
import type {Attempt} from '../../gateway/node/request_telemetry';
import {
  tryTakeRetry,
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
 * Upper bound of poolers that a read is sent to. An unresponsive pooler may be
 * busy rather than lost, and each retry then adds load.
 */
const MAX_POOLERS_PER_READ = 2;

/**
 * Runs requests at the poolers of their services, or locally if no pooler can
 * be reached.
 */
export class PooledRunner implements StatementRunner {
  private readonly selector: PoolerSelector;

  constructor(private readonly directory: PoolerDirectory) {
    this.selector = new PoolerSelector(directory);
  }

  *runStatement(
    context: SessionContext,
    request: StatementRequest,
  ): Task<StatementResult> {
    const {directory} = this;
    const {route, requestId, statement, receivedAt, isWrite} = request;
    const step = encodeStep(statement, context.sessionState);
    if (!step) return failure('unknown name', 'not prepared');
    const deadline = receivedAt + route.statementMs;
    const excluded = new Set<PoolerLink>();
    const permits = new AttemptPermits(context, requestId, route.service);
    const requirements = {
      service: route.service,
      user: context.user,
      needsPrimary: needsPrimary(request),
    };
    for (;;) {
      const acquired = yield* acquireLink(
        directory,
        context,
        requirements,
        excluded,
      );
      if (!acquired) {
        const result = yield* LOCAL_RUNNER.runStatement(context, request);
        return excluded.size === 0 ? result : asPossiblyRun(result, permits);
      }
      // A request that was sent before may have run, so it must not be refused
      // as not run.
      const isFirst = excluded.size === 0;
      const work = {
        route,
        requirements,
        receivedAt,
        deadline,
        requestId,
      };
      const link = isFirst
        ? this.selector.select(context, acquired, work)
        : acquired;
      if (!(link instanceof PoolerLink)) return refusalResult(link);
      if (isFirst) context.classes.onRequest(route.service);
      const sentAt = context.clock.now();
      const reply = yield* callPooler(context, {
        link,
        deadline,
        isRetryable: !isWrite,
        request: {
          work: link.nextWorkId(),
          requestId,
          scope: WorkScope.WORK_SCOPE_SINGLE,
          step,
          ageMs: toWholeMilliseconds(sentAt - receivedAt),
          session: encodeSession(context, sentAt),
          terms: encodeTerms(route),
        },
      });
      if (reply && isFirst) return reply.result;
      if (reply) return asPossiblyRun(reply.result, permits);
      if (context.callerGone.aborted) {
        return failure('timeout', 'the caller left');
      }
      const tookMs = context.clock.now() - sentAt;
      const attempt = {instance: link.address, tookMs, detail: 'no answer'};
      excluded.add(link);
      const isLate = context.clock.now() >= deadline;
      const isLast = isLate || excluded.size >= MAX_POOLERS_PER_READ;
      const result = resultWithoutReply(context, request, attempt, isLast);
      if (result) return result;
      permits.onDidPossiblyRun();
      if (!(yield* permits.acquire(deadline))) return NO_ANSWER;
    }
  }

  beginTransaction(
    ...[context, route, readOnly, receivedAt]: Parameters<
      StatementRunner['beginTransaction']
    >
  ): PooledTransaction {
    return new PooledTransaction(
      this.directory,
      this.selector,
      context,
      route,
      readOnly,
      receivedAt,
    );
  }
}

/**
 * The result of a read that was also sent to a pooler. Guard: the pooler may
 * have run it, so it must not be reported as not run.
 */
function asPossiblyRun(
  result: StatementResult,
  permits: AttemptPermits,
): StatementResult {
  const isRefused = result.kind === 'error' && didNotRun(result.failure);
  if (!isRefused) return result;
  permits.release();
  return NO_ANSWER;
}

const NO_ANSWER = failure('timeout', 'no answer from the pooler');

/**
 * The result of a request without a reply; undefined to retry it at another
 * pooler.
 */
function resultWithoutReply(
  context: SessionContext,
  {requestId, route: {service}, isWrite}: StatementRequest,
  attempt: Attempt,
  isLast: boolean,
): StatementResult | undefined {
  const {telemetry, caller} = context;
  if (isWrite) {
    telemetry.recordFailure(requestId, service, attempt);
    return failure('unknown outcome', 'the write may have taken effect');
  }
  telemetry.recordRetry({request: requestId, caller}, service, {
    ...attempt,
    mightHaveRun: true,
  });
  const {detail} = attempt;
  if (!isLast && tryTakeRetry(context, requestId, service, detail)) {
    return undefined;
  }
  return NO_ANSWER;
}

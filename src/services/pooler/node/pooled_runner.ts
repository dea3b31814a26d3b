import type {Task} from '../../../base/node/task';
import {WorkScope} from '../../../schema/generated/pooler';
import type {SessionContext} from '../../gateway/node/session_context';
import {
  needsPrimary,
  type SingleRequest,
} from '../../gateway/node/single_statement';
import {LOCAL_RUNNER, type WorkRunner} from '../../gateway/node/work_runner';
import {failure, type StatementResult} from '../../statement/common/statement';
import {
  encodeSession,
  encodeStep,
  encodeTerms,
  wholeAge,
} from '../common/pooler_messages';
import {PooledTransaction} from './pooled_transaction';
import {callPooler, takeLink} from './pooler_call';
import type {PoolerDirectory} from './pooler_directory';
import type {PoolerLink} from './pooler_link';

/**
 * Poolers that a read is sent to at most. One that answers nothing may be busy
 * rather than gone, and then each repetition is work on top.
 */
const MOST_POOLERS = 2;

/** Runs sessions' work at the poolers of their services. */
export class PooledRunner implements WorkRunner {
  constructor(private readonly directory: PoolerDirectory) {}

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
      const link = yield* takeLink(directory, context, wish, passed);
      if (!link) return yield* LOCAL_RUNNER.runSingle(context, request);
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
      const tookMs = context.clock.now() - now;
      const attempt = {instance: link.address, tookMs, detail: 'no answer'};
      if (isWrite) {
        context.journal.onFailed(requestId, route.service, attempt);
        const text = 'the write may have taken effect';
        return failure('unknown outcome', text);
      }
      context.journal.onRepeated(requestId, route.service, attempt);
      passed.add(link);
      const isLate = context.clock.now() >= deadline;
      if (isLate || passed.size >= MOST_POOLERS) {
        return failure('timeout', 'no answer from the pooler');
      }
    }
  }

  begin(
    ...[context, route, readOnly, since]: Parameters<WorkRunner['begin']>
  ): PooledTransaction {
    return new PooledTransaction(
      this.directory,
      context,
      route,
      readOnly,
      since,
    );
  }
}

import {pause, settled, type Task} from '../../../base/node/task';
import {after} from '../../../base/node/timers';
import {
  WorkScope,
  type WorkReply,
  type WorkRequest,
} from '../../../schema/generated/pooler';
import type {SessionContext} from '../../gateway/node/session_context';
import type {SingleRequest} from '../../gateway/node/single_statement';
import {LOCAL_RUNNER, type WorkRunner} from '../../gateway/node/work_runner';
import {
  failure,
  type CallerReply,
  type StatementResult,
} from '../../statement/common/statement';
import {
  decodeReply,
  encodeSession,
  encodeStep,
  encodeTerms,
  wholeAge,
} from '../common/pooler_messages';
import {PooledTransaction} from './pooled_transaction';
import type {PoolerDirectory} from './pooler_directory';
import type {PoolerLink} from './pooler_link';

/**
 * After a start or a loss, links to poolers open within some tens of
 * milliseconds; waiting for one is cheaper than connections of one's own.
 */
const LINK_WAIT_MS = 250;
const LINK_LOOK_MS = 10;
/** A pooler answers by the deadline itself; its answer's way comes on top. */
const ANSWER_WAY_MS = 60;

/**
 * Poolers that a read is sent to at most. One that answers nothing may be busy
 * rather than gone, and then each repetition is work on top.
 */
const MOST_POOLERS = 2;

/** What came back of a statement: an outcome, or nothing. */
export type PoolerOutcome = CallerReply | undefined;

/** Runs sessions' work at the poolers of their services. */
export class PooledRunner implements WorkRunner {
  constructor(private readonly directory: PoolerDirectory) {}

  *runSingle(
    context: SessionContext,
    request: SingleRequest,
  ): Task<StatementResult> {
    const {route, requestId, statement, since, isWrite} = request;
    const step = encodeStep(statement, context.memory);
    if (!step) return failure('unknown name', 'not prepared');
    const deadline = since + route.statementMs;
    const passed = new Set<PoolerLink>();
    for (;;) {
      const link = yield* this.takeLink(context, route.service, passed);
      if (!link) return yield* LOCAL_RUNNER.runSingle(context, request);
      const now = context.clock.now();
      const outcome = yield* ask(context, link, deadline, !isWrite, {
        work: link.nextWork(),
        requestId,
        scope: WorkScope.WORK_SCOPE_SINGLE,
        step,
        ageMs: wholeAge(now - since),
        session: encodeSession(context.caller, context.memory, now),
        terms: encodeTerms(route),
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
    return new PooledTransaction(context, route, readOnly, since, this);
  }

  /** A usable link, after a short wait where one is being opened. */
  *takeLink(
    {clock}: SessionContext,
    service: string,
    passed: ReadonlySet<PoolerLink>,
  ): Task<PoolerLink | undefined> {
    const until = clock.now() + LINK_WAIT_MS;
    for (;;) {
      const link = this.directory.choose(service, passed);
      if (link) return link;
      if (!this.directory.isConnecting(service)) return undefined;
      if (clock.now() >= until) return undefined;
      yield* pause(LINK_LOOK_MS);
    }
  }
}

/**
 * Sends a statement and waits for its outcome, to a little past its deadline.
 * A position that comes back is the session's newest commit.
 */
export function* ask(
  context: SessionContext,
  link: PoolerLink,
  deadline: number,
  repeatable: boolean,
  request: WorkRequest,
): Task<PoolerOutcome> {
  const {clock, signal, memory} = context;
  const timeMs = Math.max(0, deadline - clock.now()) + ANSWER_WAY_MS;
  const cancel = after(signal, timeMs, () => link.abandon(request.work));
  const done = yield* settled(link.send(request, {repeatable}));
  cancel();
  const reply: WorkReply | undefined = 'value' in done ? done.value : undefined;
  if (!reply) return undefined;
  const outcome = decodeReply(reply);
  memory.onCommit(outcome.position, clock.now());
  return outcome;
}

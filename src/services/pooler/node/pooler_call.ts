import {pause, settled, type Task} from '../../../base/node/task';
import {WorkScope, type WorkRequest} from '../../../schema/generated/pooler';
import type {SessionContext} from '../../gateway/node/session_context';
import type {CallerReply} from '../../statement/common/statement';
import {decodeReply} from '../common/pooler_messages';
import type {PoolerRequirements} from '../common/pooler_ranking';
import type {PoolerDirectory} from './pooler_directory';
import type {PoolerLink, SendOptions} from './pooler_link';

/**
 * After a start or a loss, links to poolers open within some tens of
 * milliseconds; waiting for one is cheaper than connections of one's own.
 */
const LINK_WAIT_MS = 250;
const LINK_LOOK_MS = 10;
/** A pooler answers by the deadline itself; its answer's way comes on top. */
const ANSWER_WAY_MS = 60;

/** One statement on its way to a pooler. */
export interface PoolerCall extends SendOptions {
  readonly link: PoolerLink;
  readonly request: WorkRequest;
  /** On the session's clock, in milliseconds. */
  readonly deadline: number;
}

/**
 * A usable link, after a short wait where one is being opened; undefined where
 * the work is done here.
 */
export function* acquireLink(
  directory: PoolerDirectory,
  {clock}: SessionContext,
  requirements: PoolerRequirements,
  excluded: ReadonlySet<PoolerLink>,
): Task<PoolerLink | undefined> {
  const until = clock.now() + LINK_WAIT_MS;
  for (;;) {
    const mayWait = clock.now() < until;
    const chosen = directory.selectLink(requirements, excluded, mayWait);
    if (chosen === 'here') return undefined;
    if (chosen) return chosen;
    if (!mayWait || !directory.isConnecting(requirements)) return undefined;
    yield* pause(LINK_LOOK_MS);
  }
}

/**
 * Sends a statement and waits for its outcome, to a little past its deadline,
 * or until its caller leaves; undefined where none came. A position that comes
 * back is the session's newest commit.
 */
export function* callPooler(
  {clock, sessionState, callerGone}: SessionContext,
  {link, request, deadline, isRetryable}: PoolerCall,
): Task<CallerReply | undefined> {
  const timeMs = Math.max(0, deadline - clock.now()) + ANSWER_WAY_MS;
  const abandon = () => link.cancel(request.work);
  // Also where the caller has left: a pooler may never answer.
  const timer = setTimeout(abandon, timeMs);
  const answer = link.send(request, {isRetryable});
  // A later step runs at its member: breaking it off would waste that.
  const mayWait = request.scope !== WorkScope.WORK_SCOPE_CONTINUE;
  if (mayWait && callerGone.aborted) abandon();
  else if (mayWait) callerGone.addEventListener('abort', abandon, {once: true});
  const done = yield* settled(answer);
  callerGone.removeEventListener('abort', abandon);
  clearTimeout(timer);
  const reply = 'value' in done ? done.value : undefined;
  if (!reply) return undefined;
  const outcome = decodeReply(reply);
  sessionState.recordCommit(outcome.position, clock.now());
  return outcome;
}

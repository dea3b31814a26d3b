import {sleep, settled, type Task} from '../../../base/node/task';
import {WorkScope, type WorkRequest} from '../../../schema/generated/pooler';
import type {SessionContext} from '../../gateway/node/session_context';
import type {CallerReply} from '../../statement/common/statement';
import {decodeReply} from '../common/pooler_messages';
import type {PoolerRequirements} from '../common/pooler_ranking';
import type {PoolerDirectory} from './pooler_directory';
import type {PoolerLink, SendOptions} from './pooler_link';

/**
 * Links open within tens of milliseconds after a start or a loss; waiting for
 * one is cheaper than opening local connections.
 */
const LINK_WAIT_MS = 250;
const LINK_POLL_MS = 10;
/**
 * Network delay of the reply, since the pooler answers by the deadline itself.
 */
const REPLY_DELAY_MS = 60;

/** A statement that is sent to a pooler. */
export interface PoolerCall extends SendOptions {
  readonly link: PoolerLink;
  readonly request: WorkRequest;
  /** Moment on the session's clock, in milliseconds. */
  readonly deadline: number;
}

/**
 * Returns a usable link, waiting briefly for one that is being opened;
 * undefined if the request is to run locally.
 */
export function* acquireLink(
  directory: PoolerDirectory,
  {clock}: SessionContext,
  requirements: PoolerRequirements,
  excluded: ReadonlySet<PoolerLink>,
): Task<PoolerLink | undefined> {
  const waitUntil = clock.now() + LINK_WAIT_MS;
  for (;;) {
    const mayWait = clock.now() < waitUntil;
    const selected = directory.selectLink(requirements, excluded, mayWait);
    if (selected === 'local') return undefined;
    if (selected) return selected;
    if (!mayWait || !directory.isConnecting(requirements)) return undefined;
    yield* sleep(LINK_POLL_MS);
  }
}

/**
 * Sends a statement and waits for its reply until shortly after the deadline,
 * or until the caller disconnects; undefined without a reply. Records a commit
 * position of the reply in the session.
 */
export function* callPooler(
  {clock, sessionState, callerGone}: SessionContext,
  {link, request, deadline, isRetryable}: PoolerCall,
): Task<CallerReply | undefined> {
  const timeoutMs = Math.max(0, deadline - clock.now()) + REPLY_DELAY_MS;
  const cancel = () => link.cancel(request.work);
  // Also if the caller has disconnected: a pooler may never answer.
  const timer = setTimeout(cancel, timeoutMs);
  const pendingReply = link.send(request, {isRetryable});
  // Later steps are not queued but run at once: interrupting them would waste
  // work of the member.
  const isQueued = request.scope !== WorkScope.WORK_SCOPE_CONTINUE;
  if (isQueued && callerGone.aborted) cancel();
  else if (isQueued) callerGone.addEventListener('abort', cancel, {once: true});
  const settledReply = yield* settled(pendingReply);
  callerGone.removeEventListener('abort', cancel);
  clearTimeout(timer);
  const reply = 'value' in settledReply ? settledReply.value : undefined;
  if (!reply) return undefined;
  const decoded = decodeReply(reply);
  sessionState.recordCommit(decoded.position, clock.now());
  return decoded;
}

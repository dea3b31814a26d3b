import type {DatabaseRoute} from '../../../schema/generated/fleet';
import type {WaitBudgetInputs} from '../../admission/common/wait_budget';
import {RetryPacer} from '../../admission/common/retry_pacer';
import type {CheckoutRefusal} from '../../dispatch/common/checkout_request';
import type {SessionContext} from '../../gateway/node/session_context';
import {selectByWait} from '../common/select_by_wait';
import type {PoolerRequirements} from '../common/pooler_ranking';
import type {PoolerDirectory} from './pooler_directory';
import type {PoolerLink} from './pooler_link';

/** A request that has not been sent to a pooler yet. */
export interface UnsentRequest {
  readonly route: DatabaseRoute;
  readonly requirements: PoolerRequirements;
  readonly receivedAt: number;
  readonly deadline: number;
  readonly requestId: string;
}

/**
 * A proxy does not know how fast a pooler's queue drains; its own share is
 * about one request per interval.
 */
const RETRY_INTERVAL_MS = 10;

/**
 * Selects poolers by the waits that they reported, before a request is sent. A
 * request that would be late at all of them is refused.
 */
export class PoolerSelector {
  private readonly retryPacer = new RetryPacer();

  constructor(private readonly directory: PoolerDirectory) {}

  /** Returns the link to use, or the refusal of a request that did not run. */
  select(
    context: SessionContext,
    first: PoolerLink,
    request: UnsentRequest,
  ): PoolerLink | CheckoutRefusal {
    const {route, requirements} = request;
    const {classes, clock, telemetry, caller} = context;
    if (!classes.isEnabled(route.service)) return first;
    const now = clock.now();
    const {service, priority} = route;
    const query = {service, priority, needsPrimary: requirements.needsPrimary};
    const loadOf = (link: PoolerLink) => {
      return {link, waitMs: link.waits.expectedWaitMs(query, now)};
    };
    const firstLoad = loadOf(first);
    if (firstLoad.waitMs === 0) return first;
    const others = this.directory.readyLinks(requirements).map(loadOf);
    const maxWaitMs = classes.maxWaitBudgetMs(
      budgetInputsOf(context, request, now),
    );
    const selection = selectByWait(firstLoad, others, maxWaitMs);
    if (selection.kind === 'send') return selection.link;
    const {link, waitMs} = selection.load;
    const expectedMs = Math.round(waitMs);
    const detail = `expected=${expectedMs} maxWait=${Math.round(maxWaitMs)} source=${link.address}`;
    const retryMs = this.retryPacer.nextDelayMs(now, waitMs, RETRY_INTERVAL_MS);
    const retryAfterMs = Math.ceil(retryMs);
    const refusal = {reason: 'overloaded', retryAfterMs, detail} as const;
    const source = {request: request.requestId, caller};
    telemetry.recordRefusal(source, route, refusal, 0);
    return refusal;
  }
}

function budgetInputsOf(
  context: SessionContext,
  {route, receivedAt, deadline}: UnsentRequest,
  now: number,
): WaitBudgetInputs {
  const {objectiveMs} = route;
  const dueAt = receivedAt - context.startupWaitMs() + objectiveMs;
  const times = {
    statementTimeLeftMs: deadline - now,
    dueInMs: dueAt - now,
    waitedMs: 0,
  };
  return {objectiveMs, ...times};
}

import type {DatabaseRoute} from '../../../schema/generated/fleet';
import type {WaitBudgetInputs} from '../../admission/common/wait_budget';
import {RetryPacer} from '../../admission/common/retry_pacer';
import type {CheckoutRefusal} from '../../dispatch/common/checkout_request';
import type {SessionContext} from '../../gateway/node/session_context';
import {selectByWait} from '../common/select_by_wait';
import type {PoolerRequirements} from '../common/pooler_ranking';
import type {PoolerDirectory} from './pooler_directory';
import type {PoolerLink} from './pooler_link';

/** New work, before it is sent to a pooler. */
export interface NewWork {
  readonly route: DatabaseRoute;
  readonly wish: PoolerRequirements;
  readonly since: number;
  readonly deadline: number;
  readonly requestId: string;
}

/**
 * A proxy does not know how fast a pooler's queue drains: its own share of that
 * is about one request in this time, in milliseconds.
 */
const RETURN_INTERVAL_MS = 10;

/**
 * Decides where new work goes by what poolers said of their waits, before any
 * message. What would wait too long everywhere is refused here.
 */
export class PoolerSelector {
  private readonly returns = new RetryPacer();

  constructor(private readonly directory: PoolerDirectory) {}

  /** The link to use, or the refusal of work that then did not run. */
  select(
    context: SessionContext,
    first: PoolerLink,
    work: NewWork,
  ): PoolerLink | CheckoutRefusal {
    const {route, wish} = work;
    const {classes, clock, telemetry, caller} = context;
    if (!classes.isEnabled(route.service)) return first;
    const now = clock.now();
    const {service, priority} = route;
    const question = {service, priority, needsPrimary: wish.needsPrimary};
    const offerOf = (link: PoolerLink) => {
      return {link, waitMs: link.waits.expectedWaitMs(question, now)};
    };
    const offer = offerOf(first);
    if (offer.waitMs === 0) return first;
    const others = this.directory.readyLinks(wish).map(offerOf);
    const roomMs = classes.maxWaitBudgetMs(termsOf(context, work, now));
    const choice = selectByWait(offer, others, roomMs);
    if (choice.kind === 'send') return choice.link;
    const {link, waitMs} = choice.load;
    const expected = Math.round(waitMs);
    const detail = `expected=${expected} room=${Math.round(roomMs)} word=${link.address}`;
    const retryMs = this.returns.nextDelayMs(now, waitMs, RETURN_INTERVAL_MS);
    const retryAfterMs = Math.ceil(retryMs);
    const refusal = {reason: 'overloaded', retryAfterMs, detail} as const;
    const name = {request: work.requestId, caller};
    telemetry.recordRefusal(name, route, refusal, 0);
    return refusal;
  }
}

function termsOf(
  context: SessionContext,
  {route, since, deadline}: NewWork,
  now: number,
): WaitBudgetInputs {
  const {objectiveMs} = route;
  const dueAt = since - context.startupWaitMs() + objectiveMs;
  const times = {
    statementTimeLeftMs: deadline - now,
    dueInMs: dueAt - now,
    waitedMs: 0,
  };
  return {objectiveMs, ...times};
}

import type {DatabaseRoute} from '../../../schema/generated/fleet';
import type {PatienceTerms} from '../../admission/common/patience';
import {ReturnTimes} from '../../admission/common/return_times';
import type {PlaceRefusal} from '../../dispatch/common/place_request';
import type {SessionContext} from '../../gateway/node/session_context';
import {chooseByWait} from '../common/choose_by_wait';
import type {PoolerWish} from '../common/choose_pooler';
import type {PoolerDirectory} from './pooler_directory';
import type {PoolerLink} from './pooler_link';

/** New work, before it is sent to a pooler. */
export interface NewWork {
  readonly route: DatabaseRoute;
  readonly wish: PoolerWish;
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
export class WaitDecision {
  private readonly returns = new ReturnTimes();

  constructor(private readonly directory: PoolerDirectory) {}

  /** The link to use, or the refusal of work that then did not run. */
  decide(
    context: SessionContext,
    first: PoolerLink,
    work: NewWork,
  ): PoolerLink | PlaceRefusal {
    const {route, wish} = work;
    const {classes, clock, journal, caller} = context;
    if (!classes.isOn(route.service)) return first;
    const now = clock.now();
    const {service, priority} = route;
    const question = {service, priority, needsPrimary: wish.needsPrimary};
    const offerOf = (link: PoolerLink) => {
      return {link, waitMs: link.waits.expected(question, now)};
    };
    const offer = offerOf(first);
    if (offer.waitMs === 0) return first;
    const others = this.directory.readyLinks(wish).map(offerOf);
    const roomMs = classes.mostPatience(termsOf(context, work, now));
    const choice = chooseByWait(offer, others, roomMs);
    if (choice.kind === 'send') return choice.link;
    const {link, waitMs} = choice.offer;
    const expected = Math.round(waitMs);
    const detail = `expected=${expected} room=${Math.round(roomMs)} word=${link.address}`;
    const retryMs = this.returns.next(now, waitMs, RETURN_INTERVAL_MS);
    const retryAfterMs = Math.ceil(retryMs);
    const refusal = {reason: 'overloaded', retryAfterMs, detail} as const;
    const name = {request: work.requestId, caller};
    journal.onRefused(name, route, refusal, 0);
    return refusal;
  }
}

function termsOf(
  context: SessionContext,
  {route, since, deadline}: NewWork,
  now: number,
): PatienceTerms {
  const {objectiveMs} = route;
  const dueAt = since - context.greetingMs() + objectiveMs;
  const times = {timeMs: deadline - now, dueInMs: dueAt - now, waitedMs: 0};
  return {objectiveMs, ...times};
}

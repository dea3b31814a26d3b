import {err, ok} from '../../../base/common/outcome';
import {FairQueue} from '../../admission/common/fair_queue';
import {DrainRate} from './drain_rate';
import type {PlaceNeed, PlaceRefusal, PlaceRequest} from './place_request';
import type {PrimaryOutage} from './primary_outage';

/** The most requests that wait here; what is more has no chance. */
const QUEUE_LIMIT = 256;
const LEAST_RETRY_MS = 40;

type Kind = PlaceNeed['kind'];

/**
 * Requests of one service that wait for a connection, and the decision who may
 * wait at all: what cannot be met in time is refused at once, with the time to
 * come back.
 */
export class WaitingRequests<G> {
  private readonly queue = new FairQueue<PlaceRequest<G>>();
  private readonly rates: Readonly<Record<Kind, DrainRate>> = {
    primary: new DrainRate(),
    read: new DrainRate(),
  };
  private readonly counts: Record<Kind, number> = {primary: 0, read: 0};

  constructor(private readonly outage: PrimaryOutage) {}

  get size(): number {
    return this.queue.size;
  }

  /** Lets a request wait, or refuses it. */
  add(request: PlaceRequest<G>, now: number): void {
    const refusal = this.outageRefusal(request, now) ?? this.busy(request, now);
    if (refusal) return request.settle(err(refusal));
    const {kind} = request.need;
    this.queue.add(request);
    this.counts[kind]++;
    this.rates[kind].onWaiting(now);
  }

  /** Offers the waiting requests places, in fair order. */
  serve(now: number, place: (request: PlaceRequest<G>) => G | undefined): void {
    if (this.queue.size === 0) return;
    this.queue.serve(now, request => {
      const grant = place(request);
      if (!grant) return 'later';
      const {kind} = request.need;
      const left = --this.counts[kind];
      this.rates[kind].onPlaced(now, left > 0);
      request.settle(ok(grant));
      return 'taken';
    });
  }

  /** Gives up what waited as long as makes sense for its caller. */
  giveUp(now: number): void {
    const late: [PlaceRequest<G>, PlaceRefusal][] = [];
    this.queue.serve(now, request => {
      const refusal =
        this.outageRefusal(request, now) ?? this.lateRefusal(request, now);
      if (refusal) late.push([request, refusal]);
      return 'later';
    });
    for (const [request, refusal] of late) {
      this.queue.remove(request);
      const {kind} = request.need;
      if (--this.counts[kind] === 0) this.rates[kind].onEmpty();
      request.settle(err(refusal));
    }
  }

  private busy(
    request: PlaceRequest<G>,
    now: number,
  ): PlaceRefusal | undefined {
    const {need, since, patienceMs} = request;
    const isOutage = this.isOutageFor(need, now);
    const isOverdue = request.dueAt <= now;
    const ahead = this.queue.aheadOf(request, other => {
      const goesFirst = isOverdue || other.dueAt > now;
      return other.need.kind === need.kind && goesFirst;
    });
    const expectedMs = this.rates[need.kind].expectedWait(ahead, now);
    const room = since + patienceMs - now;
    const isHopeless = !isOutage && expectedMs > room;
    if (!isHopeless && this.queue.size < QUEUE_LIMIT) return undefined;
    const detail = `ahead=${ahead} room=${Math.round(room)}`;
    return refuse('overloaded', expectedMs, detail);
  }

  private outageRefusal(
    {need, since, deadline}: PlaceRequest<G>,
    now: number,
  ): PlaceRefusal | undefined {
    if (need.kind !== 'primary') return undefined;
    const end = this.outage.expectedEnd(now);
    if (end === undefined || end <= deadline) return undefined;
    const detail = `waited=${Math.round(now - since)}`;
    return refuse('no primary', end - now, detail);
  }

  private lateRefusal(
    {since, deadline, patienceMs, need}: PlaceRequest<G>,
    now: number,
  ): PlaceRefusal | undefined {
    const isOutage = this.isOutageFor(need, now);
    // Who waited for a primary waits for its turn from when there was one.
    const isPrimary = need.kind === 'primary';
    const from = isPrimary ? Math.max(since, this.outage.endedAt) : since;
    const until = isOutage ? deadline : from + patienceMs;
    if (now < until) return undefined;
    const rate = this.rates[need.kind];
    const detail = `waited=${Math.round(now - since)} need=${need.kind}`;
    const afterMs = rate.expectedWait(this.counts[need.kind], now);
    return refuse('no member', afterMs, detail);
  }

  private isOutageFor({kind}: PlaceNeed, now: number): boolean {
    return kind === 'primary' && this.outage.expectedEnd(now) !== undefined;
  }
}

function refuse(
  reason: PlaceRefusal['reason'],
  afterMs: number,
  detail: string,
): PlaceRefusal {
  const retryAfterMs = Math.max(LEAST_RETRY_MS, Math.ceil(afterMs));
  return {reason, retryAfterMs, detail};
}

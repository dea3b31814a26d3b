import {callerName} from '../../../base/common/ids';
import {err, ok} from '../../../base/common/outcome';
import {FairQueue} from '../../admission/common/fair_queue';
import {RetryPacer} from '../../admission/common/retry_pacer';
import {DrainRate} from './drain_rate';
import type {
  CheckoutRequirement,
  CheckoutRefusal,
  CheckoutRequest,
  CheckoutWait,
} from './checkout_request';
import type {PrimaryOutage} from './primary_outage';

/** The most requests that wait here; what is more has no chance. */
const QUEUE_LIMIT = 256;
const LEAST_RETRY_MS = 40;
/**
 * What waits already is refused early where it would wait this much longer
 * than it may; less is within the error of the measured rate.
 */
const HOPELESS_FACTOR = 1.5;

type Kind = CheckoutRequirement['kind'];

/**
 * Requests of one service that wait for a connection, and the decision who may
 * wait at all: what cannot be met in time is refused at once, with the time to
 * come back.
 *
 * By class, a full queue makes room for the more urgent, what the more urgent
 * have pushed beyond its time is refused early, and those who are refused come
 * back at different times.
 */
export class CheckoutQueue<G> {
  private readonly queue = new FairQueue<CheckoutRequest<G>>();
  private readonly rates: Readonly<Record<Kind, DrainRate>> = {
    primary: new DrainRate(),
    read: new DrainRate(),
  };
  private readonly counts: Record<Kind, number> = {primary: 0, read: 0};
  private readonly returns = new RetryPacer();
  private isByClass = false;

  constructor(private readonly outage: PrimaryOutage) {}

  get size(): number {
    return this.queue.size;
  }

  setUsesClasses(isByClass: boolean): void {
    this.isByClass = isByClass;
    this.queue.setMinShares(isByClass);
  }

  /** Lets a request wait, or refuses it. */
  add(request: CheckoutRequest<G>, now: number): void {
    const refusal =
      this.outageRefusal(request, now) ??
      this.hopeless(request, now) ??
      this.full(request, now);
    if (refusal) return request.settle(err(refusal));
    const {kind} = request.requirement;
    this.queue.add(request);
    this.counts[kind]++;
    this.rates[kind].onWaiting(now);
  }

  /** Offers the waiting requests places, in fair order. */
  serve(
    now: number,
    place: (request: CheckoutRequest<G>) => G | undefined,
  ): void {
    if (this.queue.size === 0) return;
    this.queue.offer(now, request => {
      const grant = place(request);
      if (!grant) return 'later';
      const {kind} = request.requirement;
      const left = --this.counts[kind];
      this.rates[kind].onPlaced(now, left > 0);
      request.settle(ok(grant));
      return 'taken';
    });
  }

  /** Takes out a request that nobody waits for any more. */
  withdraw(request: CheckoutRequest<G>): void {
    if (!this.remove(request)) return;
    const detail = 'left the queue';
    request.settle(err({reason: 'abandoned', retryAfterMs: 0, detail}));
  }

  /** Gives up what waited as long as makes sense for its caller. */
  expire(now: number): void {
    const late: [CheckoutRequest<G>, CheckoutRefusal][] = [];
    const before: Record<Kind, number> = {primary: 0, read: 0};
    for (const request of this.queue.inOrder()) {
      const refusal =
        this.outageRefusal(request, now) ??
        this.lateRefusal(request, now) ??
        this.pushedOut(request, before, now);
      if (refusal) late.push([request, refusal]);
      else if (request.dueAt > now) before[request.requirement.kind]++;
    }
    for (const [request, refusal] of late) {
      this.remove(request);
      request.settle(err(refusal));
    }
  }

  /**
   * How long new work would wait, by need and by each priority that waits;
   * what is less urgent waits at least as long.
   */
  expectedWaits(now: number): CheckoutWait[] {
    const waits: CheckoutWait[] = [];
    for (const kind of KINDS) {
      // Without a primary work waits for that, and not for its turn.
      const isOutage = this.isOutageFor({kind}, now);
      if (this.counts[kind] === 0 || isOutage) continue;
      for (const priority of this.queue.priorities) {
        const ahead = this.aheadOf({caller: NEW_CALLER, priority}, kind, now);
        const waitMs = this.rates[kind].expectedWaitMs(ahead, now);
        waits.push({needsPrimary: kind === 'primary', priority, waitMs});
      }
    }
    return waits;
  }

  private remove(request: CheckoutRequest<G>): boolean {
    if (!this.queue.remove(request)) return false;
    const {kind} = request.requirement;
    if (--this.counts[kind] === 0) this.rates[kind].onEmpty();
    return true;
  }

  /** How many of a kind go before one that is in time. */
  private aheadOf(
    one: Pick<CheckoutRequest<G>, 'caller' | 'priority'>,
    kind: Kind,
    now: number,
    isOverdue = false,
  ): number {
    return this.queue.countAhead(one, other => {
      const goesFirst = isOverdue || other.dueAt > now;
      return other.requirement.kind === kind && goesFirst;
    });
  }

  private hopeless(
    request: CheckoutRequest<G>,
    now: number,
  ): CheckoutRefusal | undefined {
    const estimate = this.estimateOf(request, now);
    const {expectedMs, room} = estimate;
    const isOutage = this.isOutageFor(request.requirement, now);
    if (isOutage || expectedMs <= room) return undefined;
    return this.overloaded(estimate, now);
  }

  /** Refuses where the queue is full, of what is as urgent by class. */
  private full(
    request: CheckoutRequest<G>,
    now: number,
  ): CheckoutRefusal | undefined {
    if (this.queue.size < QUEUE_LIMIT) return undefined;
    if (this.isByClass && this.makeRoom(request, now)) return undefined;
    return this.overloaded(this.estimateOf(request, now), now);
  }

  /** How long one that comes now would wait, and may. */
  private estimateOf(request: CheckoutRequest<G>, now: number): WaitEstimate {
    const {requirement, requestedAt, waitBudgetMs, dueAt} = request;
    const {kind} = requirement;
    const ahead = this.aheadOf(request, kind, now, dueAt <= now);
    const expectedMs = this.rates[kind].expectedWaitMs(ahead, now);
    return {kind, ahead, expectedMs, room: requestedAt + waitBudgetMs - now};
  }

  /** Refuses the last of the least urgent for a more urgent request. */
  private makeRoom({priority}: CheckoutRequest<G>, now: number): boolean {
    let last: CheckoutRequest<G> | undefined;
    for (const other of this.queue.inOrder()) last = other;
    if (!last || last.priority <= priority) return false;
    this.remove(last);
    const {kind} = last.requirement;
    const ahead = this.counts[kind];
    const expectedMs = this.rates[kind].expectedWaitMs(ahead, now);
    const room = last.requestedAt + last.waitBudgetMs - now;
    last.settle(err(this.overloaded({kind, ahead, expectedMs, room}, now)));
    return true;
  }

  /** Refuses what more urgent requests have pushed beyond its time. */
  private pushedOut(
    request: CheckoutRequest<G>,
    before: Readonly<Record<Kind, number>>,
    now: number,
  ): CheckoutRefusal | undefined {
    const {requirement, dueAt} = request;
    const {kind} = requirement;
    if (!this.isByClass || this.isOutageFor(requirement, now) || dueAt <= now) {
      return undefined;
    }
    const ahead = before[kind];
    const expectedMs = this.rates[kind].drainMs(ahead);
    const room = this.untilOf(request, now) - now;
    if (expectedMs <= room * HOPELESS_FACTOR) return undefined;
    return this.overloaded({kind, ahead, expectedMs, room}, now);
  }

  private overloaded(
    {kind, ahead, expectedMs, room}: WaitEstimate,
    now: number,
  ): CheckoutRefusal {
    const detail = `ahead=${ahead} room=${Math.round(room)}`;
    return this.refuse('overloaded', {kind, afterMs: expectedMs, detail}, now);
  }

  private outageRefusal(
    {requirement, requestedAt, deadline}: CheckoutRequest<G>,
    now: number,
  ): CheckoutRefusal | undefined {
    if (requirement.kind !== 'primary') return undefined;
    const end = this.outage.expectedEndAt(now);
    if (end === undefined || end <= deadline) return undefined;
    const detail = `waited=${Math.round(now - requestedAt)}`;
    const afterMs = end - now;
    return this.refuse('no primary', {kind: 'primary', afterMs, detail}, now);
  }

  private lateRefusal(
    request: CheckoutRequest<G>,
    now: number,
  ): CheckoutRefusal | undefined {
    const {requestedAt, requirement} = request;
    if (now < this.untilOf(request, now)) return undefined;
    const rate = this.rates[requirement.kind];
    const detail = `waited=${Math.round(now - requestedAt)} need=${requirement.kind}`;
    const afterMs = rate.expectedWaitMs(this.counts[requirement.kind], now);
    return this.refuse(
      'no member',
      {kind: requirement.kind, afterMs, detail},
      now,
    );
  }

  /** Until when a request may wait. */
  private untilOf(
    {requestedAt, deadline, waitBudgetMs, requirement}: CheckoutRequest<G>,
    now: number,
  ): number {
    if (this.isOutageFor(requirement, now)) return deadline;
    // Who waited for a primary waits for its turn from when there was one.
    const isPrimary = requirement.kind === 'primary';
    const from = isPrimary
      ? Math.max(requestedAt, this.outage.endedAt)
      : requestedAt;
    return from + waitBudgetMs;
  }

  private isOutageFor(
    {kind}: Pick<CheckoutRequirement, 'kind'>,
    now: number,
  ): boolean {
    return kind === 'primary' && this.outage.expectedEndAt(now) !== undefined;
  }

  private refuse(
    reason: CheckoutRefusal['reason'],
    {kind, afterMs, detail}: RefusalGround,
    now: number,
  ): CheckoutRefusal {
    const least = Math.max(LEAST_RETRY_MS, afterMs);
    if (!this.isByClass) {
      return {reason, retryAfterMs: Math.ceil(least), detail};
    }
    const intervalMs = this.rates[kind].drainMs(1);
    const retryAfterMs = Math.ceil(
      this.returns.nextDelayMs(now, least, intervalMs),
    );
    const expected = `expected=${Math.round(afterMs)}`;
    return {reason, retryAfterMs, detail: `${detail} ${expected} word=own`};
  }
}

const KINDS: readonly Kind[] = ['primary', 'read'];
/** One that nobody waits for yet. */
const NEW_CALLER = callerName('');

interface WaitEstimate {
  readonly kind: Kind;
  readonly ahead: number;
  readonly expectedMs: number;
  /** How long it may wait still, in milliseconds. */
  readonly room: number;
}

interface RefusalGround {
  readonly kind: Kind;
  readonly afterMs: number;
  /** The inputs that decided, for the log. */
  readonly detail: string;
}

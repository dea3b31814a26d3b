import {callerName} from '../../../base/common/ids';
import {err, ok} from '../../../base/common/result';
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

const MAX_QUEUE_LENGTH = 256;
const MIN_RETRY_DELAY_MS = 40;
/** Allows for the error of the measured rate before a request is dropped. */
const OVERRUN_FACTOR = 1.5;

type Kind = CheckoutRequirement['kind'];

/**
 * The requests of one service that are queued for a connection. A request that
 * cannot be served in time is refused at once, with a retry delay.
 *
 * With priority classes, a full queue drops the least urgent request for a more
 * urgent one, requests displaced by more urgent ones are refused early, and
 * retry delays are spread.
 */
export class CheckoutQueue<G> {
  private readonly queue = new FairQueue<CheckoutRequest<G>>();
  private readonly rates: Readonly<Record<Kind, DrainRate>> = {
    primary: new DrainRate(),
    read: new DrainRate(),
  };
  private readonly counts: Record<Kind, number> = {primary: 0, read: 0};
  private readonly retryPacer = new RetryPacer();
  private usesClasses = false;

  constructor(private readonly outage: PrimaryOutage) {}

  get size(): number {
    return this.queue.size;
  }

  setUsesClasses(usesClasses: boolean): void {
    this.usesClasses = usesClasses;
    this.queue.setMinShares(usesClasses);
  }

  /** Queues a request, or refuses it at once. */
  add(request: CheckoutRequest<G>, now: number): void {
    const refusal =
      this.checkOutage(request, now) ??
      this.checkExpectedWait(request, now) ??
      this.checkCapacity(request, now);
    if (refusal) return request.resolve(err(refusal));
    const {kind} = request.requirement;
    this.queue.add(request);
    this.counts[kind]++;
    this.rates[kind].onQueued(now);
  }

  /** Checks out connections for queued requests, in fair order. */
  serve(
    now: number,
    checkOut: (request: CheckoutRequest<G>) => G | undefined,
  ): void {
    if (this.queue.size === 0) return;
    this.queue.offer(now, request => {
      const checkout = checkOut(request);
      if (!checkout) return 'later';
      const {kind} = request.requirement;
      const leftCount = --this.counts[kind];
      this.rates[kind].onServed(now, leftCount > 0);
      request.resolve(ok(checkout));
      return 'taken';
    });
  }

  /** Removes a request whose caller abandoned it. */
  cancel(request: CheckoutRequest<G>): void {
    if (!this.remove(request)) return;
    const detail = 'left the queue';
    request.resolve(err({reason: 'abandoned', retryAfterMs: 0, detail}));
  }

  /** Refuses the requests that can no longer be served in time. */
  expire(now: number): void {
    const refused: [CheckoutRequest<G>, CheckoutRefusal][] = [];
    const aheadCounts: Record<Kind, number> = {primary: 0, read: 0};
    for (const request of this.queue.inOrder()) {
      const refusal =
        this.checkOutage(request, now) ??
        this.checkWaitBudget(request, now) ??
        this.checkDisplaced(request, aheadCounts, now);
      if (refusal) refused.push([request, refusal]);
      else if (request.dueAt > now) aheadCounts[request.requirement.kind]++;
    }
    for (const [request, refusal] of refused) {
      this.remove(request);
      request.resolve(err(refusal));
    }
  }

  /**
   * The expected wait of a new request, by requirement and by queued priority.
   * Less urgent requests wait at least as long.
   */
  expectedWaits(now: number): CheckoutWait[] {
    const waits: CheckoutWait[] = [];
    for (const kind of KINDS) {
      // Without a primary, requests wait for its replacement instead.
      const isOutage = this.isBlockedByOutage({kind}, now);
      if (this.counts[kind] === 0 || isOutage) continue;
      for (const priority of this.queue.priorities) {
        const aheadCount = this.countAhead(
          {caller: NEW_CALLER, priority},
          kind,
          now,
        );
        const waitMs = this.rates[kind].expectedWaitMs(aheadCount, now);
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

  /** Counts the requests of a kind that are served before this one. */
  private countAhead(
    request: Pick<CheckoutRequest<G>, 'caller' | 'priority'>,
    kind: Kind,
    now: number,
    isOverdue = false,
  ): number {
    return this.queue.countAhead(request, queued => {
      const goesFirst = isOverdue || queued.dueAt > now;
      return queued.requirement.kind === kind && goesFirst;
    });
  }

  private checkExpectedWait(
    request: CheckoutRequest<G>,
    now: number,
  ): CheckoutRefusal | undefined {
    const estimate = this.estimateWait(request, now);
    const {expectedWaitMs, maxWaitMs} = estimate;
    const isOutage = this.isBlockedByOutage(request.requirement, now);
    if (isOutage || expectedWaitMs <= maxWaitMs) return undefined;
    return this.makeOverloadedRefusal(estimate, now);
  }

  /** Refuses a request if the queue is full of requests as urgent. */
  private checkCapacity(
    request: CheckoutRequest<G>,
    now: number,
  ): CheckoutRefusal | undefined {
    if (this.queue.size < MAX_QUEUE_LENGTH) return undefined;
    if (this.usesClasses && this.evictFor(request, now)) return undefined;
    return this.makeOverloadedRefusal(this.estimateWait(request, now), now);
  }

  private estimateWait(request: CheckoutRequest<G>, now: number): WaitEstimate {
    const {requirement, requestedAt, waitBudgetMs, dueAt} = request;
    const {kind} = requirement;
    const aheadCount = this.countAhead(request, kind, now, dueAt <= now);
    const expectedWaitMs = this.rates[kind].expectedWaitMs(aheadCount, now);
    return {
      kind,
      aheadCount,
      expectedWaitMs,
      maxWaitMs: requestedAt + waitBudgetMs - now,
    };
  }

  /** Refuses the last of the least urgent requests in favor of this one. */
  private evictFor({priority}: CheckoutRequest<G>, now: number): boolean {
    let last: CheckoutRequest<G> | undefined;
    for (const queued of this.queue.inOrder()) last = queued;
    if (!last || last.priority <= priority) return false;
    this.remove(last);
    const {kind} = last.requirement;
    const aheadCount = this.counts[kind];
    const expectedWaitMs = this.rates[kind].expectedWaitMs(aheadCount, now);
    const maxWaitMs = last.requestedAt + last.waitBudgetMs - now;
    last.resolve(
      err(
        this.makeOverloadedRefusal(
          {kind, aheadCount, expectedWaitMs, maxWaitMs},
          now,
        ),
      ),
    );
    return true;
  }

  /** Refuses a request that more urgent ones displaced beyond its wait. */
  private checkDisplaced(
    request: CheckoutRequest<G>,
    aheadCounts: Readonly<Record<Kind, number>>,
    now: number,
  ): CheckoutRefusal | undefined {
    const {requirement, dueAt} = request;
    const {kind} = requirement;
    if (
      !this.usesClasses ||
      this.isBlockedByOutage(requirement, now) ||
      dueAt <= now
    ) {
      return undefined;
    }
    const aheadCount = aheadCounts[kind];
    const expectedWaitMs = this.rates[kind].drainMs(aheadCount);
    const maxWaitMs = this.waitDeadlineOf(request, now) - now;
    if (expectedWaitMs <= maxWaitMs * OVERRUN_FACTOR) return undefined;
    return this.makeOverloadedRefusal(
      {kind, aheadCount, expectedWaitMs, maxWaitMs},
      now,
    );
  }

  private makeOverloadedRefusal(
    {kind, aheadCount, expectedWaitMs, maxWaitMs}: WaitEstimate,
    now: number,
  ): CheckoutRefusal {
    const detail = `ahead=${aheadCount} maxWait=${Math.round(maxWaitMs)}`;
    return this.makeRefusal(
      'overloaded',
      {kind, delayMs: expectedWaitMs, detail},
      now,
    );
  }

  private checkOutage(
    {requirement, requestedAt, deadline}: CheckoutRequest<G>,
    now: number,
  ): CheckoutRefusal | undefined {
    if (requirement.kind !== 'primary') return undefined;
    const endAt = this.outage.expectedEndAt(now);
    if (endAt === undefined || endAt <= deadline) return undefined;
    const detail = `waited=${Math.round(now - requestedAt)}`;
    const delayMs = endAt - now;
    return this.makeRefusal(
      'no primary',
      {kind: 'primary', delayMs, detail},
      now,
    );
  }

  private checkWaitBudget(
    request: CheckoutRequest<G>,
    now: number,
  ): CheckoutRefusal | undefined {
    const {requestedAt, requirement} = request;
    if (now < this.waitDeadlineOf(request, now)) return undefined;
    const rate = this.rates[requirement.kind];
    const detail = `waited=${Math.round(now - requestedAt)} need=${requirement.kind}`;
    const delayMs = rate.expectedWaitMs(this.counts[requirement.kind], now);
    return this.makeRefusal(
      'no member',
      {kind: requirement.kind, delayMs, detail},
      now,
    );
  }

  private waitDeadlineOf(
    {requestedAt, deadline, waitBudgetMs, requirement}: CheckoutRequest<G>,
    now: number,
  ): number {
    if (this.isBlockedByOutage(requirement, now)) return deadline;
    // The wait budget starts anew once an outage of the primary has ended.
    const isPrimary = requirement.kind === 'primary';
    const startsAt = isPrimary
      ? Math.max(requestedAt, this.outage.endedAt)
      : requestedAt;
    return startsAt + waitBudgetMs;
  }

  private isBlockedByOutage(
    {kind}: Pick<CheckoutRequirement, 'kind'>,
    now: number,
  ): boolean {
    return kind === 'primary' && this.outage.expectedEndAt(now) !== undefined;
  }

  private makeRefusal(
    reason: CheckoutRefusal['reason'],
    {kind, delayMs, detail}: RefusalInputs,
    now: number,
  ): CheckoutRefusal {
    const minDelayMs = Math.max(MIN_RETRY_DELAY_MS, delayMs);
    if (!this.usesClasses) {
      return {reason, retryAfterMs: Math.ceil(minDelayMs), detail};
    }
    const intervalMs = this.rates[kind].drainMs(1);
    const retryAfterMs = Math.ceil(
      this.retryPacer.nextDelayMs(now, minDelayMs, intervalMs),
    );
    const expectedWait = `expected=${Math.round(delayMs)}`;
    return {
      reason,
      retryAfterMs,
      detail: `${detail} ${expectedWait} source=local`,
    };
  }
}

const KINDS: readonly Kind[] = ['primary', 'read'];
/** A caller without queued requests. */
const NEW_CALLER = callerName('');

interface WaitEstimate {
  readonly kind: Kind;
  readonly aheadCount: number;
  readonly expectedWaitMs: number;
  /** What is left of the wait budget. */
  readonly maxWaitMs: number;
}

interface RefusalInputs {
  readonly kind: Kind;
  readonly delayMs: number;
  /** The inputs of the decision, for the log. */
  readonly detail: string;
}

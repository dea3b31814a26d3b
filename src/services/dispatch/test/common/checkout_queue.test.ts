import {SHARED_USER} from '../../../target_link/common/target_link';
import {describe, expect, it} from 'vitest';
import {callerName} from '../../../../base/common/ids';
import type {Result} from '../../../../base/common/result';
import type {
  CheckoutRefusal,
  CheckoutRequest,
} from '../../common/checkout_request';
import {PrimaryOutage} from '../../common/primary_outage';
import {CheckoutQueue} from '../../common/checkout_queue';

const WAIT_BUDGET_MS = 250;
const STATEMENT_MS = 800;
const OBJECTIVE_MS = 500;

/** Simulates arrivals and checkouts in steps of a millisecond. */
class LoadSimulation {
  readonly outage = new PrimaryOutage();
  readonly queue = new CheckoutQueue<string>(this.outage);
  readonly waits: number[] = [];
  /** Waits, including those before the request was queued. */
  readonly totals: number[] = [];
  readonly refusals: {waitedMs: number; retryAfterMs: number}[] = [];
  now = 0;
  /** Fractions of an arrival and of a checkout, in thousandths. */
  private arrivals = 0;
  private capacity = 0;

  run(
    durationMs: number,
    arrivalsPerSecond: number,
    capacityPerSecond: number,
  ): void {
    for (const endAt = this.now + durationMs; this.now < endAt; this.now++) {
      this.arrivals += arrivalsPerSecond;
      for (; this.arrivals >= 1_000; this.arrivals -= 1_000) this.add();
      this.capacity = Math.min(1_000, this.capacity + capacityPerSecond);
      this.queue.serve(this.now, () => this.checkOut());
      if (this.now % 50 === 0) this.queue.expire(this.now);
    }
  }

  /** The fraction of requests that were served when they were due. */
  get inTimeFraction(): number {
    const inTimeTotals = this.totals.filter(ms => ms <= OBJECTIVE_MS);
    return inTimeTotals.length / (this.totals.length + this.refusals.length);
  }

  add(kind: 'primary' | 'read' = 'read', waitedBeforeMs = 0): void {
    const requestedAt = this.now;
    const requirement =
      kind === 'primary'
        ? ({kind} as const)
        : ({kind, minReadAt: requestedAt, ownCommit: undefined} as const);
    const request: CheckoutRequest<string> = {
      caller: callerName(`c${requestedAt % 20}`),
      priority: 2,
      deadline: requestedAt + STATEMENT_MS,
      dueAt: requestedAt - waitedBeforeMs + OBJECTIVE_MS,
      requestedAt,
      waitBudgetMs: WAIT_BUDGET_MS,
      requirement,
      user: SHARED_USER,
      values: new Map(),
      triedInstances: new Set(),
      resolve: outcome => this.onResolved(requestedAt, waitedBeforeMs, outcome),
    };
    this.queue.add(request, this.now);
  }

  private checkOut(): string | undefined {
    if (this.capacity < 1_000) return undefined;
    this.capacity -= 1_000;
    return 'a connection';
  }

  private onResolved(
    requestedAt: number,
    waitedBeforeMs: number,
    outcome: Result<string, CheckoutRefusal>,
  ) {
    const waitedMs = this.now - requestedAt;
    if (outcome.isOk) this.totals.push(waitedMs + waitedBeforeMs);
    if (outcome.isOk) this.waits.push(waitedMs);
    else this.refusals.push({waitedMs, ...outcome.error});
  }
}

describe('more requests than capacity', () => {
  // Requests that cannot be served in time must be refused at once, and those
  // that are queued must be served.
  it('refuses most excess requests at once', () => {
    const load = new LoadSimulation();
    load.run(4_000, 150, 100);
    const lateRefusals = load.refusals.filter(({waitedMs}) => waitedMs > 50);
    expect(load.refusals.length).toBeGreaterThan(100);
    expect(lateRefusals.length).toBeLessThan(load.refusals.length / 4);
  });

  it('still uses all the capacity', () => {
    const load = new LoadSimulation();
    load.run(4_000, 150, 100);
    expect(load.waits.length).toBeGreaterThan(380);
  });

  it('refuses no request of a burst that fits into the wait budget', () => {
    const load = new LoadSimulation();
    load.run(100, 200, 100);
    load.run(300, 0, 100);
    expect(load.refusals).toEqual([]);
    expect(load.waits).toHaveLength(20);
  });

  it('returns a retry delay that grows with the queue', () => {
    const load = new LoadSimulation();
    load.run(1_000, 300, 50);
    const {retryAfterMs} = load.refusals.at(-1)!;
    expect(retryAfterMs).toBeGreaterThan(150);
  });
});

describe('overdue requests after an outage', () => {
  // In the order of arrival, new requests would wait behind overdue ones and
  // become overdue as well.
  it('do not make later requests overdue', () => {
    const load = new LoadSimulation();
    for (let waitedBeforeMs = 1_200; waitedBeforeMs > 0; waitedBeforeMs -= 10) {
      load.add('read', waitedBeforeMs);
    }
    const servedBefore = load.totals.length;
    load.run(600, 100, 300);
    expect(servedBefore).toBe(0);
    const maxInTime = (50 + 60) / (120 + 60);
    expect(load.inTimeFraction).toBeGreaterThan(maxInTime * 0.8);
  });
});

describe('a service without a primary', () => {
  it('queues requests that can be served in time and refuses others', () => {
    // Only a request near the expected end of the outage is served before its
    // deadline.
    const load = new LoadSimulation();
    load.outage.setState('unreachable', 0);
    load.add('primary');
    expect(load.refusals).toHaveLength(1);
    load.now = 1_200;
    load.add('primary');
    load.run(500, 0, 0);
    expect(load.refusals).toHaveLength(1);
    load.outage.setState('serving', load.now);
    load.run(20, 0, 100);
    expect(load.waits).toHaveLength(1);
  });
});

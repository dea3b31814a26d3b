import {describe, expect, it} from 'vitest';
import {callerName} from '../../../../base/common/ids';
import type {Result} from '../../../../base/common/result';
import {SHARED_USER} from '../../../target_link/common/target_link';
import type {
  CheckoutRefusal,
  CheckoutRequest,
} from '../../common/checkout_request';
import {PrimaryOutage} from '../../common/primary_outage';
import {CheckoutQueue} from '../../common/checkout_queue';

/** The requests of one priority class. */
interface RequestClass {
  readonly priority: number;
  readonly needsPrimary: boolean;
  readonly objectiveMs: number;
  readonly waitBudgetMs: number;
  readonly perSecond: number;
}

const URGENT: RequestClass = {
  priority: 0,
  needsPrimary: true,
  objectiveMs: 500,
  waitBudgetMs: 400,
  perSecond: 60,
};
const PATIENT: RequestClass = {
  priority: 2,
  needsPrimary: false,
  objectiveMs: 2_500,
  waitBudgetMs: 1_000,
  perSecond: 100,
};

/** The outcomes of the requests of one class. */
class Outcomes {
  readonly waits: number[] = [];
  readonly refusals: (CheckoutRefusal & {waitedMs: number})[] = [];
}

/** Simulates a load of several classes in steps of a millisecond. */
class LoadSimulation {
  readonly outage = new PrimaryOutage();
  readonly queue = new CheckoutQueue<string>(this.outage);
  readonly outcomes = new Map<number, Outcomes>();
  now = 0;
  isPrimaryPartitioned = false;
  /** Fractions of an arrival and of a checkout, in thousandths. */
  private readonly arrivals = new Map<RequestClass, number>();
  private readonly capacity = {primary: 0, read: 0};

  constructor() {
    this.queue.setUsesClasses(true);
  }

  run(
    durationMs: number,
    classes: readonly RequestClass[],
    capacityPerSecond: {primary: number; read: number},
  ): void {
    for (const endAt = this.now + durationMs; this.now < endAt; this.now++) {
      for (const requestClass of classes) this.addArrivals(requestClass);
      for (const need of ['primary', 'read'] as const) {
        const sum = this.capacity[need] + capacityPerSecond[need];
        this.capacity[need] = Math.min(1_000, sum);
      }
      this.queue.serve(this.now, request => this.checkOut(request));
      if (this.now % 50 === 0) this.queue.expire(this.now);
    }
  }

  outcomesOf({priority}: RequestClass): Outcomes {
    const existing = this.outcomes.get(priority) ?? new Outcomes();
    this.outcomes.set(priority, existing);
    return existing;
  }

  add(requestClass: RequestClass): CheckoutRequest<string> {
    const requestedAt = this.now;
    const {priority, needsPrimary, objectiveMs, waitBudgetMs} = requestClass;
    const request: CheckoutRequest<string> = {
      caller: callerName(`c${priority}-${requestedAt % 20}`),
      priority,
      deadline: requestedAt + Math.max(1_000, objectiveMs),
      dueAt: requestedAt + objectiveMs,
      requestedAt,
      waitBudgetMs,
      requirement: needsPrimary
        ? {kind: 'primary'}
        : {kind: 'read', minReadAt: requestedAt, ownCommit: undefined},
      user: SHARED_USER,
      values: new Map(),
      triedInstances: new Set(),
      resolve: outcome => this.onResolved(requestClass, requestedAt, outcome),
    };
    this.queue.add(request, this.now);
    return request;
  }

  private addArrivals(requestClass: RequestClass): void {
    let sum = (this.arrivals.get(requestClass) ?? 0) + requestClass.perSecond;
    for (; sum >= 1_000; sum -= 1_000) this.add(requestClass);
    this.arrivals.set(requestClass, sum);
  }

  /** Reads run on the primary if no replica has capacity. */
  private checkOut({requirement}: CheckoutRequest<string>): string | undefined {
    const {capacity} = this;
    if (requirement.kind === 'read' && capacity.read >= 1_000) {
      capacity.read -= 1_000;
      return 'replica';
    }
    if (this.isPrimaryPartitioned || capacity.primary < 1_000) return undefined;
    capacity.primary -= 1_000;
    return 'primary';
  }

  private onResolved(
    requestClass: RequestClass,
    requestedAt: number,
    outcome: Result<string, CheckoutRefusal>,
  ): void {
    const waitedMs = this.now - requestedAt;
    const classOutcomes = this.outcomesOf(requestClass);
    if (outcome.isOk) classOutcomes.waits.push(waitedMs);
    else classOutcomes.refusals.push({...outcome.error, waitedMs});
  }
}

/** Checkouts a second from the primary and from the replicas. */
const CAPACITY = {primary: 100, read: 80};

describe('a burst of patient reads beside urgent requests', () => {
  // The reads exceed the capacity, and the primary is partitioned for a while.
  // There is capacity for all urgent requests otherwise.
  const burst = {...PATIENT, perSecond: 200};

  function simulate(): LoadSimulation {
    const load = new LoadSimulation();
    load.run(2_000, [URGENT, PATIENT], CAPACITY);
    load.run(2_000, [URGENT, burst], CAPACITY);
    load.isPrimaryPartitioned = true;
    load.outage.setState('unreachable', load.now);
    load.run(3_000, [URGENT, burst], CAPACITY);
    load.isPrimaryPartitioned = false;
    load.outage.setState('serving', load.now);
    load.run(3_000, [URGENT, burst], CAPACITY);
    return load;
  }

  it('refuses no urgent request while there is a primary', () => {
    const load = simulate();
    const reasons = load.outcomesOf(URGENT).refusals.map(({reason}) => reason);
    expect(reasons.filter(reason => reason !== 'no primary')).toEqual([]);
  });

  it('keeps the waits of urgent requests far below their objective', () => {
    // Half of the objective is left for the work and for a retry.
    const load = new LoadSimulation();
    load.run(2_000, [URGENT, PATIENT], CAPACITY);
    load.run(6_000, [URGENT, burst], CAPACITY);
    expect(Math.max(...load.outcomesOf(URGENT).waits)).toBeLessThan(250);
  });

  it('gives patient requests their minimum share and all free capacity', () => {
    // What urgent requests leave with a primary, and the replicas without one.
    const load = simulate();
    const served = load.outcomesOf(PATIENT).waits.length;
    expect(served).toBeGreaterThan((7 * 115 + 3 * 75) * 0.95);
  });

  it('refuses patient requests early instead of after a long wait', () => {
    // A refusal within a quarter of the objective leaves time for a retry.
    const load = simulate();
    const {refusals} = load.outcomesOf(PATIENT);
    const lateRefusals = refusals.filter(({waitedMs}) => waitedMs > 2_500 / 4);
    expect(lateRefusals.length).toBeLessThan(refusals.length / 10);
  });

  it('spreads the retries of refused requests', () => {
    const load = simulate();
    const {refusals} = load.outcomesOf(PATIENT);
    expect(refusals[0]!.detail).toMatch(
      /^ahead=.* maxWait=.* expected=.* source=local/,
    );
    const first = refusals.slice(0, 20).map(refusal => refusal.retryAfterMs);
    expect(new Set(first).size).toBeGreaterThan(10);
  });
});

describe('urgent requests beyond the capacity', () => {
  it('leave patient requests a tenth of the capacity', () => {
    // Without a minimum share, patient requests would starve.
    const load = new LoadSimulation();
    const excess = {...URGENT, perSecond: 200, waitBudgetMs: 900};
    load.run(5_000, [excess, PATIENT], {primary: 100, read: 0});
    const patientCount = load.outcomesOf(PATIENT).waits.length;
    const total = patientCount + load.outcomesOf(excess).waits.length;
    expect(patientCount / total).toBeGreaterThan(0.09);
    expect(patientCount / total).toBeLessThan(0.11);
  });
});

describe('a full queue', () => {
  it('refuses the last of the less urgent requests for an urgent one', () => {
    // An urgent request would be refused while patient reads fill the queue.
    const load = new LoadSimulation();
    for (let count = 0; count < 300; count++) load.add(PATIENT);
    const refused = load.outcomesOf(PATIENT).refusals.length;
    load.add(URGENT);
    expect(load.outcomesOf(URGENT).refusals).toEqual([]);
    expect(load.outcomesOf(PATIENT).refusals).toHaveLength(refused + 1);
    load.run(20, [], {primary: 100, read: 0});
    expect(load.outcomesOf(URGENT).waits).toHaveLength(1);
  });

  it('refuses an urgent request if classes are off', () => {
    const load = new LoadSimulation();
    load.queue.setUsesClasses(false);
    for (let count = 0; count < 300; count++) load.add(PATIENT);
    load.add(URGENT);
    expect(load.outcomesOf(URGENT).refusals).toHaveLength(1);
  });

  it('refuses the newest request if all are as urgent', () => {
    const load = new LoadSimulation();
    for (let count = 0; count < 300; count++) load.add(URGENT);
    expect(load.outcomesOf(URGENT).refusals).toHaveLength(44);
  });
});

describe('a cancelled request', () => {
  it('leaves the queue at once', () => {
    const load = new LoadSimulation();
    const request = load.add(PATIENT);
    load.queue.cancel(request);
    load.run(50, [], CAPACITY);
    expect(load.outcomesOf(PATIENT).waits).toEqual([]);
    const reasons = load.outcomesOf(PATIENT).refusals.map(({reason}) => reason);
    expect(reasons).toEqual(['abandoned']);
  });

  it('is resolved once, even if it was served before', () => {
    const load = new LoadSimulation();
    const request = load.add(PATIENT);
    load.run(50, [], CAPACITY);
    load.queue.cancel(request);
    expect(load.outcomesOf(PATIENT).waits).toHaveLength(1);
    expect(load.outcomesOf(PATIENT).refusals).toEqual([]);
  });
});

describe('expectedWaits', () => {
  it('returns a wait for each queued priority', () => {
    const load = new LoadSimulation();
    load.run(3_000, [URGENT, {...PATIENT, perSecond: 300}], CAPACITY);
    const reads = load.queue.expectedWaits(load.now).filter(wait => {
      return !wait.needsPrimary;
    });
    expect(reads.map(({priority}) => priority)).toEqual([2]);
    // Long enough to be reported to other instances.
    expect(reads[0]!.waitMs).toBeGreaterThan(30);
  });

  it('excludes requests for an unreachable primary', () => {
    // They wait for a new primary. A proxy that took them for a long queue
    // would refuse requests that can be served in time.
    const load = new LoadSimulation();
    load.run(3_000, [{...URGENT, perSecond: 120}], CAPACITY);
    load.isPrimaryPartitioned = true;
    load.outage.setState('unreachable', load.now);
    load.run(1_500, [URGENT], CAPACITY);
    expect(load.queue.expectedWaits(load.now)).toEqual([]);
  });

  it('is empty while no requests are queued', () => {
    expect(new LoadSimulation().queue.expectedWaits(0)).toEqual([]);
  });
});

import {describe, expect, it} from 'vitest';
import {callerName} from '../../../../base/common/ids';
import type {Result} from '../../../../base/common/outcome';
import {SHARED_USER} from '../../../target_link/common/target_link';
import type {
  CheckoutRefusal,
  CheckoutRequest,
} from '../../common/checkout_request';
import {PrimaryOutage} from '../../common/primary_outage';
import {CheckoutQueue} from '../../common/checkout_queue';

/** One kind of request: what its callers expect, and how long it may wait. */
interface Kind {
  readonly priority: number;
  readonly needsPrimary: boolean;
  readonly objectiveMs: number;
  readonly patienceMs: number;
  /** Arrivals a second. */
  readonly perS: number;
}

const URGENT: Kind = {
  priority: 0,
  needsPrimary: true,
  objectiveMs: 500,
  patienceMs: 400,
  perS: 60,
};
const PATIENT: Kind = {
  priority: 2,
  needsPrimary: false,
  objectiveMs: 2_500,
  patienceMs: 1_000,
  perS: 100,
};

/** What became of the requests of one kind. */
class Outcomes {
  readonly waits: number[] = [];
  readonly refusals: (CheckoutRefusal & {waitedMs: number})[] = [];
}

/** Load of several kinds, a millisecond a step; no sockets, no timers. */
class MixedLoad {
  readonly outage = new PrimaryOutage();
  readonly waiting = new CheckoutQueue<string>(this.outage);
  readonly outcomes = new Map<number, Outcomes>();
  now = 0;
  isPrimaryCut = false;
  /** Parts of an arrival and of a place, in thousandths. */
  private readonly arrived = new Map<Kind, number>();
  private readonly places = {primary: 0, read: 0};

  constructor() {
    this.waiting.setUsesClasses(true);
  }

  run(
    forMs: number,
    kinds: readonly Kind[],
    placesPerS: {primary: number; read: number},
  ): void {
    for (const until = this.now + forMs; this.now < until; this.now++) {
      for (const kind of kinds) this.arriveInTurn(kind);
      for (const need of ['primary', 'read'] as const) {
        const sum = this.places[need] + placesPerS[need];
        this.places[need] = Math.min(1_000, sum);
      }
      this.waiting.serve(this.now, request => this.place(request));
      if (this.now % 50 === 0) this.waiting.expire(this.now);
    }
  }

  of({priority}: Kind): Outcomes {
    const known = this.outcomes.get(priority) ?? new Outcomes();
    this.outcomes.set(priority, known);
    return known;
  }

  arrive(kind: Kind): CheckoutRequest<string> {
    const since = this.now;
    const {priority, needsPrimary, objectiveMs, patienceMs} = kind;
    const request: CheckoutRequest<string> = {
      caller: callerName(`c${priority}-${since % 20}`),
      priority,
      deadline: since + Math.max(1_000, objectiveMs),
      dueAt: since + objectiveMs,
      requestedAt: since,
      waitBudgetMs: patienceMs,
      requirement: needsPrimary
        ? {kind: 'primary'}
        : {kind: 'read', minReadAt: since, ownCommit: undefined},
      user: SHARED_USER,
      values: new Map(),
      triedInstances: new Set(),
      settle: outcome => this.onSettled(kind, since, outcome),
    };
    this.waiting.add(request, this.now);
    return request;
  }

  private arriveInTurn(kind: Kind): void {
    let sum = (this.arrived.get(kind) ?? 0) + kind.perS;
    for (; sum >= 1_000; sum -= 1_000) this.arrive(kind);
    this.arrived.set(kind, sum);
  }

  /** Reads may run on the primary where no replica has room. */
  private place({requirement}: CheckoutRequest<string>): string | undefined {
    const {places} = this;
    if (requirement.kind === 'read' && places.read >= 1_000) {
      places.read -= 1_000;
      return 'replica';
    }
    if (this.isPrimaryCut || places.primary < 1_000) return undefined;
    places.primary -= 1_000;
    return 'primary';
  }

  private onSettled(
    kind: Kind,
    since: number,
    outcome: Result<string, CheckoutRefusal>,
  ): void {
    const waitedMs = this.now - since;
    const own = this.of(kind);
    if (outcome.isOk) own.waits.push(waitedMs);
    else own.refusals.push({...outcome.error, waitedMs});
  }
}

/** Places a second of one primary and two replicas. */
const PLACES = {primary: 100, read: 80};

describe('a burst of patient reads beside urgent work', () => {
  // A catalogue is browsed at twice the usual rate for 8 s, more than the
  // members can serve; for 3 s of that the primary is cut off. Order desks go
  // on: they are worth most, and there are places enough for all they ask.
  const burst = {...PATIENT, perS: 200};

  function play(): MixedLoad {
    const load = new MixedLoad();
    load.run(2_000, [URGENT, PATIENT], PLACES);
    load.run(2_000, [URGENT, burst], PLACES);
    load.isPrimaryCut = true;
    load.outage.setState('lost', load.now);
    load.run(3_000, [URGENT, burst], PLACES);
    load.isPrimaryCut = false;
    load.outage.setState('serving', load.now);
    load.run(3_000, [URGENT, burst], PLACES);
    return load;
  }

  it('refuses no urgent request while there is a primary', () => {
    const load = play();
    const reasons = load.of(URGENT).refusals.map(({reason}) => reason);
    expect(reasons.filter(reason => reason !== 'no primary')).toEqual([]);
  });

  it('keeps the waits of the urgent far below their objective', () => {
    // Half of 500 ms is left for the work itself and another try.
    const load = new MixedLoad();
    load.run(2_000, [URGENT, PATIENT], PLACES);
    load.run(6_000, [URGENT, burst], PLACES);
    expect(Math.max(...load.of(URGENT).waits)).toBeLessThan(250);
  });

  it('gives the patient their least part, and every free place', () => {
    // 120 places a second are left beside the urgent, in the 8 s with a
    // primary and 80 in the others.
    const load = play();
    const served = load.of(PATIENT).waits.length;
    expect(served).toBeGreaterThan((7 * 115 + 3 * 75) * 0.95);
  });

  it('refuses the patient early, before they waited for nothing', () => {
    // A refusal within a quarter of its objective leaves time to come again.
    const load = play();
    const {refusals} = load.of(PATIENT);
    const late = refusals.filter(({waitedMs}) => waitedMs > 2_500 / 4);
    expect(late.length).toBeLessThan(refusals.length / 10);
  });

  it('sends the refused back at different times', () => {
    const load = play();
    const {refusals} = load.of(PATIENT);
    expect(refusals[0]!.detail).toMatch(
      /^ahead=.* room=.* expected=.* word=own/,
    );
    const first = refusals.slice(0, 20).map(one => one.retryAfterMs);
    expect(new Set(first).size).toBeGreaterThan(10);
  });
});

describe('urgent work that fills the members', () => {
  it('leaves the patient a tenth of the places', () => {
    // Order desks ask for twice what the members serve. Without a least part
    // nobody could browse at all.
    const load = new MixedLoad();
    const crowd = {...URGENT, perS: 200, patienceMs: 900};
    load.run(5_000, [crowd, PATIENT], {primary: 100, read: 0});
    const patient = load.of(PATIENT).waits.length;
    const all = patient + load.of(crowd).waits.length;
    expect(patient / all).toBeGreaterThan(0.09);
    expect(patient / all).toBeLessThan(0.11);
  });
});

describe('a queue that is full of the less urgent', () => {
  it('refuses the last of them for the urgent', () => {
    // Nothing is placed for a moment, and 300 patient reads come. An urgent
    // one would be refused for want of room, and is worth seven of them.
    const load = new MixedLoad();
    for (let count = 0; count < 300; count++) load.arrive(PATIENT);
    const refused = load.of(PATIENT).refusals.length;
    load.arrive(URGENT);
    expect(load.of(URGENT).refusals).toEqual([]);
    expect(load.of(PATIENT).refusals).toHaveLength(refused + 1);
    load.run(20, [], {primary: 100, read: 0});
    expect(load.of(URGENT).waits).toHaveLength(1);
  });

  it('refuses the urgent where the switch is off, as before', () => {
    const load = new MixedLoad();
    load.waiting.setUsesClasses(false);
    for (let count = 0; count < 300; count++) load.arrive(PATIENT);
    load.arrive(URGENT);
    expect(load.of(URGENT).refusals).toHaveLength(1);
  });

  it('refuses the newest where all are as urgent', () => {
    const load = new MixedLoad();
    for (let count = 0; count < 300; count++) load.arrive(URGENT);
    expect(load.of(URGENT).refusals).toHaveLength(44);
  });
});

describe('a request whose caller left', () => {
  it('leaves the queue at once', () => {
    const load = new MixedLoad();
    const request = load.arrive(PATIENT);
    load.waiting.withdraw(request);
    load.run(50, [], PLACES);
    expect(load.of(PATIENT).waits).toEqual([]);
    const reasons = load.of(PATIENT).refusals.map(({reason}) => reason);
    expect(reasons).toEqual(['abandoned']);
  });

  it('is settled once, also where it was placed meanwhile', () => {
    const load = new MixedLoad();
    const request = load.arrive(PATIENT);
    load.run(50, [], PLACES);
    load.waiting.withdraw(request);
    expect(load.of(PATIENT).waits).toHaveLength(1);
    expect(load.of(PATIENT).refusals).toEqual([]);
  });
});

describe('the waits that a queue tells of', () => {
  it('are those of its priorities, longer for the less urgent', () => {
    const load = new MixedLoad();
    load.run(3_000, [URGENT, {...PATIENT, perS: 300}], PLACES);
    const reads = load.waiting.expectedWaits(load.now).filter(wait => {
      return !wait.needsPrimary;
    });
    expect(reads.map(({priority}) => priority)).toEqual([2]);
    // Others are told of it from 30 ms on; a way to a pooler takes as long.
    expect(reads[0]!.waitMs).toBeGreaterThan(30);
  });

  it('are none of what waits for a primary that is lost', () => {
    // Work that needs a primary is held until there is one; a proxy that took
    // that for a long queue would refuse what will be served in time.
    const load = new MixedLoad();
    load.run(3_000, [{...URGENT, perS: 120}], PLACES);
    load.isPrimaryCut = true;
    load.outage.setState('lost', load.now);
    load.run(1_500, [URGENT], PLACES);
    expect(load.waiting.expectedWaits(load.now)).toEqual([]);
  });

  it('are none where nobody waits', () => {
    expect(new MixedLoad().waiting.expectedWaits(0)).toEqual([]);
  });
});

import {SHARED_USER} from '../../../target_link/common/target_link';
import {describe, expect, it} from 'vitest';
import {callerName} from '../../../../base/common/ids';
import type {Result} from '../../../../base/common/outcome';
import type {
  CheckoutRefusal,
  CheckoutRequest,
} from '../../common/checkout_request';
import {PrimaryOutage} from '../../common/primary_outage';
import {CheckoutQueue} from '../../common/checkout_queue';

/** Callers expect 800 to 1,000 ms of an operation; a quarter is for waiting. */
const PATIENCE_MS = 250;
const STATEMENT_MS = 800;
const OBJECTIVE_MS = 500;

/**
 * Load on one service as a stepwise calculation: so many arrivals a second,
 * and so many places a second. No sockets, no timers.
 */
class Load {
  readonly outage = new PrimaryOutage();
  readonly waiting = new CheckoutQueue<string>(this.outage);
  readonly waits: number[] = [];
  /** Waits with what went before them. */
  readonly totals: number[] = [];
  readonly refusals: {waitedMs: number; retryAfterMs: number}[] = [];
  now = 0;
  /** Parts of an arrival and of a place, in thousandths. */
  private arrived = 0;
  private places = 0;

  run(forMs: number, arrivalsPerS: number, placesPerS: number): void {
    for (const until = this.now + forMs; this.now < until; this.now++) {
      this.arrived += arrivalsPerS;
      for (; this.arrived >= 1_000; this.arrived -= 1_000) this.arrive();
      this.places = Math.min(1_000, this.places + placesPerS);
      this.waiting.serve(this.now, () => this.place());
      if (this.now % 50 === 0) this.waiting.expire(this.now);
    }
  }

  /** Part of the answers that came when their callers expected them. */
  get inTime(): number {
    const inTime = this.totals.filter(ms => ms <= OBJECTIVE_MS);
    return inTime.length / (this.totals.length + this.refusals.length);
  }

  arrive(kind: 'primary' | 'read' = 'read', waitedBeforeMs = 0): void {
    const since = this.now;
    const need =
      kind === 'primary'
        ? ({kind} as const)
        : ({kind, minReadAt: since, ownCommit: undefined} as const);
    const request: CheckoutRequest<string> = {
      caller: callerName(`c${since % 20}`),
      priority: 2,
      deadline: since + STATEMENT_MS,
      dueAt: since - waitedBeforeMs + OBJECTIVE_MS,
      requestedAt: since,
      waitBudgetMs: PATIENCE_MS,
      requirement: need,
      user: SHARED_USER,
      values: new Map(),
      triedInstances: new Set(),
      settle: outcome => this.onSettled(since, waitedBeforeMs, outcome),
    };
    this.waiting.add(request, this.now);
  }

  private place(): string | undefined {
    if (this.places < 1_000) return undefined;
    this.places -= 1_000;
    return 'a place';
  }

  private onSettled(
    since: number,
    waitedBeforeMs: number,
    outcome: Result<string, CheckoutRefusal>,
  ) {
    const waitedMs = this.now - since;
    if (outcome.isOk) this.totals.push(waitedMs + waitedBeforeMs);
    if (outcome.isOk) this.waits.push(waitedMs);
    else this.refusals.push({waitedMs, ...outcome.error});
  }
}

describe('more requests than places', () => {
  // A board meeting opens its papers: half as many reads again as the members
  // of a service can serve, for some seconds. Those that cannot be served in
  // time should hear so at once, and those that wait should be served.
  it('refuses most of what it refuses without a wait', () => {
    const load = new Load();
    load.run(4_000, 150, 100);
    const late = load.refusals.filter(({waitedMs}) => waitedMs > 50);
    expect(load.refusals.length).toBeGreaterThan(100);
    expect(late.length).toBeLessThan(load.refusals.length / 4);
  });

  it('still gives away every place', () => {
    const load = new Load();
    load.run(4_000, 150, 100);
    expect(load.waits.length).toBeGreaterThan(380);
  });

  it('refuses nothing of a crowd that fits into the wait', () => {
    // Twenty arrive within 100 ms where ten places come free: the last one
    // waits for about 100 ms, and nobody needs to come again.
    const load = new Load();
    load.run(100, 200, 100);
    load.run(300, 0, 100);
    expect(load.refusals).toEqual([]);
    expect(load.waits).toHaveLength(20);
  });

  it('names a time to come back that grows with what waits', () => {
    const load = new Load();
    load.run(1_000, 300, 50);
    const {retryAfterMs} = load.refusals.at(-1)!;
    expect(retryAfterMs).toBeGreaterThan(150);
  });
});

describe('the crowd after a full stop', () => {
  // All machines were without power. For 1.2 s callers waited to be greeted,
  // 100 a second; now all of them ask at once, and others go on coming. Served
  // in the order of arrival, those who have just come wait behind some hundred
  // whose time is over, and are late as well: a third is in time then.
  it('does not make those late who come after it', () => {
    const load = new Load();
    for (let waited = 1_200; waited > 0; waited -= 10) {
      load.arrive('read', waited);
    }
    const before = load.totals.length;
    load.run(600, 100, 300);
    expect(before).toBe(0);
    const couldBeInTime = (50 + 60) / (120 + 60);
    expect(load.inTime).toBeGreaterThan(couldBeInTime * 0.8);
  });
});

describe('a service without a primary', () => {
  it('lets wait who will be served in time, and refuses others at once', () => {
    // The primary is lost and will be replaced within 1.8 s. A statement with
    // 800 ms has no chance at first; one that comes in the last 800 ms waits.
    const load = new Load();
    load.outage.setState('lost', 0);
    load.arrive('primary');
    expect(load.refusals).toHaveLength(1);
    load.now = 1_200;
    load.arrive('primary');
    load.run(500, 0, 0);
    expect(load.refusals).toHaveLength(1);
    load.outage.setState('serving', load.now);
    load.run(20, 0, 100);
    expect(load.waits).toHaveLength(1);
  });
});

import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import type {AccountLimit} from '../../../../schema/generated/fleet';
import {PRECISION} from './limit_fleet';
import {
  allowedInWindow,
  LimitSimulation,
  type Callers,
} from './limit_simulation';

const {windowMs: WINDOW_MS} = PRECISION;

/** A few large accounts and many small ones. */
const LIMITS = [5, 8, 14, 41, 122, 393].flatMap(rate => [
  {perSecond: rate, burst: rate},
  {perSecond: rate, burst: rate / 2},
]);
const SMALL = LIMITS.filter(({perSecond}) => perSecond < 41);
/** The usual load as a fraction of the limits. */
const USUAL_FRACTION = 1 / 1.6;
const PROXIES_PER_REGION = 20;
/** For accounts below their limits. */
const MAX_REFUSED_FRACTION = 0.001;

/** Starts a simulation that has no load yet. */
function startSimulation(
  seed: number,
  limits: readonly AccountLimit[] = LIMITS,
) {
  const simulation = new LimitSimulation(new SeededRandom(seed), limits);
  simulation.run(3_000);
  return simulation;
}

function setOffline({fleet}: LimitSimulation, isOffline: boolean): void {
  for (const node of fleet.nodes) node.isOffline = isOffline;
}

/**
 * Returns the fraction of operations that did not run in some simulations, of
 * accounts where it is too high.
 */
function refusedFractions(
  seeds: number,
  run: (simulation: LimitSimulation) => void,
  limits = LIMITS,
): Map<string, number> {
  const requested = limits.map(() => 0);
  const refused = limits.map(() => 0);
  for (let seed = 1; seed <= seeds; seed++) {
    const simulation = startSimulation(seed, limits);
    run(simulation);
    for (const [at, callers] of simulation.callers.entries()) {
      requested[at]! += callers.requestCount;
      refused[at]! += callers.refusedCount + callers.undecidedCount;
    }
  }
  const fractions = limits.map(({perSecond, burst}, at) => {
    const name = `${perSecond}/s burst ${burst}`;
    return [name, refused[at]! / requested[at]!] as const;
  });
  return new Map(fractions.filter(([, one]) => one >= MAX_REFUSED_FRACTION));
}

function sumOf(
  {callers}: LimitSimulation,
  count: (one: Callers) => number,
): number {
  return callers.reduce((sum, one) => sum + count(one), 0);
}

function ranCount(simulation: LimitSimulation): number {
  return sumOf(simulation, ({ranAt}) => ranAt.length);
}

function requestCount(simulation: LimitSimulation): number {
  return sumOf(simulation, one => one.requestCount);
}

function refusedCount(simulation: LimitSimulation): number {
  return sumOf(simulation, one => one.refusedCount + one.undecidedCount);
}

/** Returns the accounts that exceeded their limit in some window. */
function excesses({callers}: LimitSimulation): string[] {
  return callers
    .filter(one => one.maxInWindow(WINDOW_MS) > allowedInWindow(one.limit))
    .map(({account}) => account);
}

describe('accounts below 0.9 of their limits', () => {
  // Guards against refusals of accounts that are below their limits.

  it('are served under the usual load', () => {
    const fractions = refusedFractions(5, simulation => {
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(30_000);
    });
    expect(fractions).toEqual(new Map());
  });

  it('are served while control is unavailable for 5 s', () => {
    // Shares do not follow the demand when it moves to another counter.
    const fractions = refusedFractions(10, simulation => {
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(5_000);
      setOffline(simulation, true);
      simulation.run(5_000);
    });
    expect(fractions).toEqual(new Map());
  });

  it('are served where most callers are in one region', () => {
    const fractions = refusedFractions(4, simulation => {
      for (const callers of simulation.callers) {
        callers.choose = ({random, ...others}) => {
          const isLocal = random.fraction() < 0.8;
          return isLocal
            ? simulation.pickProxyIn(0)
            : random.pick(others.proxies);
        };
      }
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(20_000);
    });
    expect(fractions).toEqual(new Map());
  });

  it('are served while callers move between machines and regions', () => {
    // Most callers move from region to region, one region each 10 s.
    const fractions = refusedFractions(4, simulation => {
      for (const callers of simulation.callers) {
        callers.choose = ({random, timeline}) => {
          if (random.fraction() > 0.7) return simulation.pickProxy();
          const region = timeline.now() / 10_000 + random.fraction();
          return simulation.pickProxyIn(Math.floor(region) % 3);
        };
      }
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(30_000);
    });
    expect(fractions).toEqual(new Map());
  });

  it('are served when the load doubles at once', () => {
    const doubleLoad = (simulation: LimitSimulation) => {
      simulation.setLoad(0.45);
      simulation.run(8_000);
      simulation.setLoad(0.9);
      simulation.run(10_000);
    };
    expect(refusedFractions(4, doubleLoad)).toEqual(new Map());
    // Refusals of small accounts only show in many simulations.
    expect(refusedFractions(60, doubleLoad, SMALL)).toEqual(new Map());
  });

  it('are served while counters restart one by one', () => {
    // A rolling update. Each counter loses its shares and tokens, and the other
    // one has only half of the limit.
    const restartAll = (simulation: LimitSimulation) => {
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(8_000);
      for (const node of simulation.fleet.nodes) {
        node.restart(500);
        simulation.run(3_000);
      }
    };
    expect(refusedFractions(2, restartAll)).toEqual(new Map());
    expect(refusedFractions(20, restartAll, SMALL)).toEqual(new Map());
  });

  it('are served where a counter fails or a region loses control', () => {
    // The shares of a lost counter are withheld from others for its lease.
    const loseCounters = (simulation: LimitSimulation) => {
      const {nodes} = simulation.fleet;
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(8_000);
      nodes[0]!.restart(9_000);
      simulation.run(15_000);
      for (const node of nodes) node.isOffline = node.region === 1;
      simulation.run(15_000);
    };
    expect(refusedFractions(2, loseCounters)).toEqual(new Map());
    expect(refusedFractions(12, loseCounters, SMALL)).toEqual(new Map());
  });

  it('are served while two other accounts are flooded', () => {
    const fractions = refusedFractions(4, simulation => {
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(5_000);
      const flooded = [simulation.callers[0]!, simulation.callers[11]!];
      for (const one of flooded) one.perSecond = one.limit.perSecond * 4.7;
      simulation.run(10_000);
      expect(excesses(simulation)).toEqual([]);
      for (const one of flooded) one.refusedCount = 0;
    });
    expect(fractions).toEqual(new Map());
  });
});

describe('accounts above their limits', () => {
  it('do not exceed them in a flood of 7.5 times the usual load', () => {
    // The flood starts with full buckets, and control is unavailable for a part
    // of it.
    for (let seed = 1; seed <= 4; seed++) {
      const simulation = startSimulation(seed);
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(10_000);
      simulation.setLoad(USUAL_FRACTION * 7.5);
      simulation.run(5_000);
      setOffline(simulation, true);
      simulation.run(10_000);
      setOffline(simulation, false);
      simulation.run(5_000);
      expect(excesses(simulation), `seed ${seed}`).toEqual([]);
    }
  });

  it('do not exceed them at 2.5 times the rate for long', () => {
    for (let seed = 1; seed <= 4; seed++) {
      const simulation = startSimulation(seed);
      simulation.setLoad(0.8);
      simulation.run(8_000);
      simulation.setLoad(2.5);
      simulation.run(12_000);
      expect(excesses(simulation), `seed ${seed}`).toEqual([]);
    }
  });

  it('do not exceed them when load rises while control is unavailable', () => {
    // Counters apply the shares that they have. These must not add up to more
    // than the limit.
    for (let seed = 1; seed <= 5; seed++) {
      const simulation = startSimulation(seed);
      simulation.setLoad(0.8);
      simulation.run(8_000);
      setOffline(simulation, true);
      simulation.setLoad(0.8 * 1.7);
      simulation.run(4_500);
      expect(excesses(simulation), `seed ${seed}`).toEqual([]);
    }
  });

  it('get most of what their limits allow', () => {
    const simulation = startSimulation(3);
    simulation.setLoad(2);
    simulation.run(5_000);
    const before = simulation.callers.map(({ranAt: ran}) => ran.length);
    simulation.run(20_000);
    for (const [at, {limit, ranAt: ran}] of simulation.callers.entries()) {
      const inWindow = ((ran.length - before[at]!) / 20) * 5;
      const allowed = limit.perSecond * 5 + limit.burst;
      expect(inWindow, `${limit.perSecond}`).toBeGreaterThan(allowed * 0.9);
    }
  });

  it('do not exceed them while the leader of control changes', () => {
    // Meanwhile half of the counters lose control for some seconds, and one
    // restarts.
    for (let seed = 1; seed <= 6; seed++) {
      const simulation = startSimulation(seed);
      const {fleet, random} = simulation;
      simulation.setLoad(2);
      simulation.run(6_000);
      setOffline(simulation, true);
      simulation.run(random.integer(200, 1_500));
      fleet.electLeader();
      for (const [i, one] of fleet.nodes.entries()) one.isOffline = i % 2 === 0;
      fleet.nodes[3]!.restart(50);
      simulation.run(3_000);
      setOffline(simulation, false);
      simulation.run(4_000);
      expect(excesses(simulation), `seed ${seed}`).toEqual([]);
    }
  });

  it('do not exceed a lowered limit after one window', () => {
    const lowered = {perSecond: 6, burst: 6};
    for (let seed = 1; seed <= 10; seed++) {
      const simulation = startSimulation(seed, [{perSecond: 60, burst: 60}]);
      const callers = simulation.callers[0]!;
      callers.perSecond = 45;
      simulation.run(6_000);
      callers.limit = lowered;
      simulation.publishLimits();
      const loweredAt = simulation.timeline.now();
      simulation.run(15_000);
      const maxCount = callers.maxInWindow(WINDOW_MS, loweredAt + WINDOW_MS);
      expect(maxCount, `seed ${seed}`).toBeLessThan(allowedInWindow(lowered));
    }
  });

  it('are not refused soon after their limit was raised', () => {
    const simulation = startSimulation(4, [{perSecond: 20, burst: 20}]);
    const callers = simulation.callers[0]!;
    callers.perSecond = 60;
    simulation.run(8_000);
    callers.limit = {perSecond: 100, burst: 100};
    simulation.publishLimits();
    simulation.run(4_000);
    const {refusedCount: refused} = callers;
    simulation.run(4_000);
    expect(callers.refusedCount).toBe(refused);
  });

  it('are served soon after all counters and control restarted', () => {
    // Guards against refusals for a whole lease: no counter has shares that the
    // new leader would have to wait for.
    for (let seed = 1; seed <= 5; seed++) {
      const simulation = startSimulation(seed);
      const {fleet, timeline} = simulation;
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(5_000);
      fleet.loseLeader();
      for (const node of fleet.nodes) node.restart(700);
      timeline.after(900, () => fleet.electLeader());
      simulation.run(3_500);
      const before = simulation.callers.map(
        one => one.refusedCount + one.undecidedCount,
      );
      simulation.run(5_000);
      const after = simulation.callers.map(
        one => one.refusedCount + one.undecidedCount,
      );
      expect(after, `seed ${seed}`).toEqual(before);
    }
  });

  it('get the tokens of the time in which all counters restarted', () => {
    // Guards against empty buckets after a restart: callers retry all at once,
    // and most of them would be refused though nothing ran since the stop.
    const large = LIMITS.filter(({perSecond}) => perSecond > 100);
    let requested = 0;
    let refused = 0;
    for (let seed = 1; seed <= 10; seed++) {
      const simulation = startSimulation(seed, large);
      const {fleet, timeline} = simulation;
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(5_000);
      simulation.setLoad(0);
      fleet.loseLeader();
      for (const node of fleet.nodes) node.restart(100);
      timeline.after(1_000, () => fleet.electLeader());
      simulation.run(1_050);
      const before = simulation.callers.map(
        one => one.refusedCount + one.undecidedCount,
      );
      const requestedBefore = simulation.callers.map(one => one.requestCount);
      simulation.setLoad(3 * USUAL_FRACTION);
      simulation.run(500);
      for (const [at, one] of simulation.callers.entries()) {
        requested += one.requestCount - requestedBefore[at]!;
        refused += one.refusedCount + one.undecidedCount - before[at]!;
      }
    }
    expect(refused / requested).toBeLessThan(0.25);
  });

  it('do not exceed them where all restart during a flood', () => {
    // Guards against initial tokens for a time in which operations ran.
    // Counters lose their records of it when they restart.
    for (let seed = 1; seed <= 12; seed++) {
      const simulation = startSimulation(seed);
      const {fleet, timeline, random} = simulation;
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(4_000);
      simulation.setLoad(7.5 * USUAL_FRACTION);
      for (let stops = 0; stops < 3; stops++) {
        simulation.run(random.integer(500, 4_000));
        fleet.loseLeader();
        for (const node of fleet.nodes) node.restart(random.integer(0, 400));
        timeline.after(random.integer(50, 900), () => fleet.electLeader());
      }
      simulation.run(6_000);
      expect(excesses(simulation), `seed ${seed}`).toEqual([]);
    }
  });
});

describe('a flood with more requests than counters can answer', () => {
  // Guards against a collapse: requests time out and are repeated until
  // counters work on nothing else, and no operation runs, even after the flood.

  /** How long a counter on a small machine works on a message. */
  const COUNTER_WORK_MS = 1;
  const FLOOD_FRACTION = 6 * USUAL_FRACTION;
  const limits = Array.from({length: 74}, (...[, at]) => {
    const perSecond = at < 8 ? 100 : 14;
    return {perSecond, burst: perSecond};
  });

  /** Starts a flood; returns what ran in each further second. */
  function startFlood(seed: number) {
    const simulation = new LimitSimulation(
      new SeededRandom(seed),
      limits,
      PROXIES_PER_REGION,
    );
    simulation.counterWorkMs = COUNTER_WORK_MS;
    simulation.run(3_000);
    simulation.setLoad(USUAL_FRACTION);
    simulation.run(4_000);
    simulation.setLoad(FLOOD_FRACTION);
    simulation.run(2_000);
    return simulation;
  }

  it('leaves accounts what their limits allow', () => {
    const allowed = limits.reduce((sum, one) => sum + one.perSecond, 0);
    for (let seed = 1; seed <= 3; seed++) {
      const simulation = startFlood(seed);
      const before = ranCount(simulation);
      simulation.run(8_000);
      const perSecond = (ranCount(simulation) - before) / 8;
      expect(perSecond, `seed ${seed}`).toBeGreaterThan(allowed * 0.9);
      expect(excesses(simulation), `seed ${seed}`).toEqual([]);
    }
  });

  it('refuses nobody soon after it ended', () => {
    for (let seed = 1; seed <= 3; seed++) {
      const simulation = startFlood(seed);
      simulation.run(6_000);
      simulation.setLoad(USUAL_FRACTION);
      simulation.run(3_000);
      const before = refusedCount(simulation);
      const requestedBefore = requestCount(simulation);
      simulation.run(5_000);
      const refused = refusedCount(simulation) - before;
      const requested = requestCount(simulation) - requestedBefore;
      expect(refused / requested, `seed ${seed}`).toBeLessThan(0.01);
    }
  });
});

describe('an account below its limit', () => {
  it.each([122, 41, 14, 5])('is never refused at 0.8 of %i/s', rate => {
    const limits = [{perSecond: rate, burst: rate}];
    const simulation = new LimitSimulation(new SeededRandom(1), limits, 14);
    simulation.run(3_000);
    simulation.setLoad(0.8);
    simulation.run(20_000);
    expect(
      simulation.callers[0]!.refusedCount +
        simulation.callers[0]!.undecidedCount,
    ).toBe(0);
  });
});

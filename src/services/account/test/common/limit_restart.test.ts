import {expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {HeldPermits} from '../../common/held_permits';
import {PRECISION} from './limit_fleet';
import {allowedInWindow, LimitSimulation} from './limit_simulation';

const LIMITS = [122, 41, 14].map(rate => ({perSecond: rate, burst: rate}));
const SEEDS = [1, 2, 3, 4, 5];

/** Restarts all proxies, counters and control at the same time. */
function restartEverything({fleet, timeline, proxies}: LimitSimulation): void {
  fleet.loseLeader();
  for (const node of fleet.nodes) node.restart(1_000);
  for (const proxy of proxies) proxy.permits = new HeldPermits();
  timeline.after(2_000, () => fleet.electLeader());
}

it.each([2, 2.5, 3, 4, 6])(
  'limits hold over a restart of everything at a load of %d',
  load => {
    // Guards against accounts that are free until a new leader has judged them.
    for (const seed of SEEDS) {
      const simulation = new LimitSimulation(new SeededRandom(seed), LIMITS);
      simulation.setLoad(load);
      simulation.run(10_000);
      restartEverything(simulation);
      simulation.run(9_000);
      for (const callers of simulation.callers) {
        const count = callers.maxInWindow(PRECISION.windowMs);
        const allowed = allowedInWindow(callers.limit);
        expect(count, `seed ${seed}`).toBeLessThanOrEqual(allowed);
      }
    }
  },
);

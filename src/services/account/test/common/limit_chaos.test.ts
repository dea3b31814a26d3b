import {expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {SHARE_LEASE_MS, shareLeaseMs} from '../../common/permit_counting';
import {LimitChaos} from './limit_chaos';
import {LimitSimulation} from './limit_simulation';

/** The last one lowers and raises a limit around a change of leader. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 1208];
/** Two limits of each size. */
const LIMITS = [393, 122, 41, 14, 8, 5].map((rate, at) => {
  return {perSecond: rate, burst: rate / (1 + (at % 2))};
});

/** A bound for withdrawn keys shortens the lease on shares. */
const SHORT = {leaseMs: shareLeaseMs(5_000), seeds: SEEDS.slice(0, 6)};
const USUAL = {leaseMs: SHARE_LEASE_MS, seeds: SEEDS};

it.each([USUAL, SHORT])(
  'applies limits under random faults: %o',
  ({leaseMs, seeds}) => {
    // Guards against accounts that exceed their limits because a share, a token
    // or a permit is in use twice, or a share is used after its lease.
    for (const seed of seeds) {
      const random = new SeededRandom(seed);
      const simulation = new LimitSimulation(random, LIMITS, 60, leaseMs);
      const chaos = new LimitChaos(simulation, random);
      simulation.lostAnswerFraction = 0.01;
      // Fills all buckets before the flood.
      simulation.setLoad(1 / 1.6);
      simulation.run(8_000);
      simulation.setLoad(7.5 / 1.6);
      chaos.run(32_000);
      expect(chaos.errors, `seed ${seed}`).toEqual([]);
      expect(chaos.excesses(), `seed ${seed}`).toEqual([]);
    }
  },
);

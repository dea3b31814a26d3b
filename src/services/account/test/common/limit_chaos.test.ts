import {expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {SHARE_LEASE_MS, shareLeaseMs} from '../../common/permit_counting';
import {LimitChaos} from './limit_chaos';
import {LimitWorld} from './limit_simulation';

/** The last one: a limit lowered and raised again around a change of leader. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 1208];
/** Limits as on the users' sheet, two of each size. */
const LIMITS = [393, 122, 41, 14, 8, 5].map((rate, at) => {
  return {perSecond: rate, burst: rate / (1 + (at % 2))};
});

/** With a bound for withdrawn keys shares hold for a shorter time. */
const SHORT = {leaseMs: shareLeaseMs(5_000), seeds: SEEDS.slice(0, 6)};
const USUAL = {leaseMs: SHARE_LEASE_MS, seeds: SEEDS};

it.each([USUAL, SHORT])(
  'holds limits whatever happens: %o',
  ({leaseMs, seeds}) => {
    // Accounts ask for 7.5 times their usual, all at once or two of them, while
    // leaders change with lists under way, control is lost for seconds,
    // counters are cut off, restart one by one or all together, are replaced,
    // and limits are lowered and raised. A user would see an account run more
    // than it may: because two counters kept to one part of a limit, because
    // tokens or permits were there twice, or because shares outlived their
    // lease. Load: 180 proxies, 40 s; the limit as users count it, in any 5 s.
    for (const seed of seeds) {
      const random = new SeededRandom(seed);
      const world = new LimitWorld(random, LIMITS, 60, leaseMs);
      const chaos = new LimitChaos(world, random);
      world.lostPart = 0.01;
      // After a calm, so that all tokens wait.
      world.load(1 / 1.6);
      world.run(8_000);
      world.load(7.5 / 1.6);
      chaos.run(32_000);
      expect(chaos.faults, `seed ${seed}`).toEqual([]);
      expect(chaos.excesses(), `seed ${seed}`).toEqual([]);
    }
  },
);

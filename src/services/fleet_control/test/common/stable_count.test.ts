import {expect, it} from 'vitest';
import {StableCount} from '../../common/stable_count';

it('returns a count once it is stable', () => {
  const stableCount = new StableCount();
  expect(stableCount.observe(9, 0, 0)).toBeUndefined();
  expect(stableCount.observe(9, 0, 4_000)).toBeUndefined();
  expect(stableCount.observe(9, 0, 5_000)).toBe(9);
  expect(stableCount.observe(9, 9, 6_000)).toBeUndefined();
});

it('keeps the recorded count while single proxies restart', () => {
  // Proxies restart one after the other. An entry in the log for each would be
  // noise, and a new leader would divide connections among too few.
  const stableCount = new StableCount();
  for (let now = 0; now <= 20_000; now += 1_000) {
    const count = now % 3_000 === 0 ? 8 : 9;
    expect(stableCount.observe(count, 9, now)).toBeUndefined();
  }
  expect(stableCount.observe(0, 9, 40_000)).toBeUndefined();
  expect(stableCount.observe(0, 9, 60_000)).toBeUndefined();
});

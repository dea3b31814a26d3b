import {expect, it} from 'vitest';
import {StableCount} from '../../common/stable_count';

it('notes a count once it has held', () => {
  const usual = new StableCount();
  expect(usual.observe(9, 0, 0)).toBeUndefined();
  expect(usual.observe(9, 0, 4_000)).toBeUndefined();
  expect(usual.observe(9, 0, 5_000)).toBe(9);
  expect(usual.observe(9, 9, 6_000)).toBeUndefined();
});

it('keeps the usual count through restarts of single proxies', () => {
  // Proxies are stopped and started in turn. One entry in the log for each of
  // them would be noise, and a leader elected meanwhile would share the
  // connections among too few.
  const usual = new StableCount();
  for (let now = 0; now <= 20_000; now += 1_000) {
    const count = now % 3_000 === 0 ? 8 : 9;
    expect(usual.observe(count, 9, now)).toBeUndefined();
  }
  expect(usual.observe(0, 9, 40_000)).toBeUndefined();
  expect(usual.observe(0, 9, 60_000)).toBeUndefined();
});

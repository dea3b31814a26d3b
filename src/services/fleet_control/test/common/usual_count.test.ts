import {expect, it} from 'vitest';
import {UsualCount} from '../../common/usual_count';

it('notes a count once it has held', () => {
  const usual = new UsualCount();
  expect(usual.look(9, 0, 0)).toBeUndefined();
  expect(usual.look(9, 0, 4_000)).toBeUndefined();
  expect(usual.look(9, 0, 5_000)).toBe(9);
  expect(usual.look(9, 9, 6_000)).toBeUndefined();
});

it('keeps the usual count through restarts of single proxies', () => {
  // Proxies are stopped and started in turn. One entry in the log for each of
  // them would be noise, and a leader elected meanwhile would share the
  // connections among too few.
  const usual = new UsualCount();
  for (let now = 0; now <= 20_000; now += 1_000) {
    const count = now % 3_000 === 0 ? 8 : 9;
    expect(usual.look(count, 9, now)).toBeUndefined();
  }
  expect(usual.look(0, 9, 40_000)).toBeUndefined();
  expect(usual.look(0, 9, 60_000)).toBeUndefined();
});

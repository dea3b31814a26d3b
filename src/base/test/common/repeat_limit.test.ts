import {expect, it} from 'vitest';
import {ManualClock} from '../../common/clock';
import {RepeatLimit} from '../../common/repeat_limit';

it('takes one line per kind and interval and counts the others', () => {
  const clock = new ManualClock();
  const limit = new RepeatLimit(1_000, clock);
  expect(limit.take('a')).toBe(0);
  expect(limit.take('a')).toBeUndefined();
  expect(limit.take('a')).toBeUndefined();
  expect(limit.take('b')).toBe(0);
  clock.advance(1_000);
  expect(limit.take('a')).toBe(2);
  expect(limit.take('a')).toBeUndefined();
});

it('forgets the oldest of many kinds', () => {
  const limit = new RepeatLimit(1_000, new ManualClock());
  limit.take('first');
  for (let at = 0; at < 64; at++) limit.take(`kind ${at}`);
  expect(limit.take('first')).toBe(0);
  expect(limit.take('kind 63')).toBeUndefined();
});

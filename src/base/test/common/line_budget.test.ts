import {expect, it} from 'vitest';
import {ManualClock} from '../../common/clock';
import {LineBudget} from '../../common/line_budget';

it('bounds a flood of one kind and says how many lines it left out', () => {
  const clock = new ManualClock(1_000);
  const budget = new LineBudget(3, clock);
  expect(budget.settle().size).toBe(0);
  const taken = Array.from({length: 10}, () => budget.take('refused'));
  expect(taken.filter(Boolean)).toHaveLength(3);
  expect(budget.take('stopped')).toBe(true);
  clock.advance(500);
  expect(budget.settle().size).toBe(0);
  clock.advance(500);
  expect([...budget.settle()]).toEqual([['refused', 7]]);
  expect(budget.take('refused')).toBe(true);
});

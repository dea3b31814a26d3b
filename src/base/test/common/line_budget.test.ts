import {expect, it} from 'vitest';
import {ManualClock} from '../../common/clock';
import {LineBudget} from '../../common/line_budget';

it('limits lines of one kind and counts the omitted ones', () => {
  const clock = new ManualClock(1_000);
  const budget = new LineBudget(3, clock);
  expect(budget.takeOmitted().size).toBe(0);
  const taken = Array.from({length: 10}, () => budget.tryTake('refused'));
  expect(taken.filter(Boolean)).toHaveLength(3);
  expect(budget.tryTake('stopped')).toBe(true);
  clock.advance(500);
  expect(budget.takeOmitted().size).toBe(0);
  clock.advance(500);
  expect([...budget.takeOmitted()]).toEqual([['refused', 7]]);
  expect(budget.tryTake('refused')).toBe(true);
});

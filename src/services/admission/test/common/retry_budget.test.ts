import {describe, expect, it} from 'vitest';
import {RetryBudget} from '../../common/retry_budget';

/** Each request fails and asks for five repeats, as many a second. */
function repeatsOf(budget: RetryBudget, perS: number, seconds: number): number {
  let repeats = 0;
  for (let now = 0; now < seconds * 1_000; now += 1_000 / perS) {
    budget.onRequest(now);
    for (let tries = 0; tries < 5; tries++) if (budget.take(now)) repeats++;
  }
  return repeats;
}

describe('the budget of repeats', () => {
  it('bounds what a failing member costs the others', () => {
    // A member fails each of 200 requests a second for 10 s. Five repeats each
    // are 1,000 a second on members that serve 300. A tenth is borne, with a
    // reserve for each window of 4 s.
    const repeats = repeatsOf(new RetryBudget(), 200, 10);
    expect(repeats).toBeLessThanOrEqual(2_000 * 0.1 + 4 * 10);
    expect(repeats).toBeGreaterThan(150);
  });

  it('repeats a single failure among few requests', () => {
    const budget = new RetryBudget();
    budget.onRequest(0);
    expect([1, 2, 3].map(() => budget.take(0))).toEqual([true, true, true]);
  });

  it('is there again after the window', () => {
    const budget = new RetryBudget();
    while (budget.take(0));
    expect(budget.take(3_000)).toBe(false);
    expect(budget.take(4_500)).toBe(true);
  });
});

import {describe, expect, it} from 'vitest';
import {RetryBudget} from '../../common/retry_budget';

/** Counts the retries of requests that each fail and ask for five. */
function countRetries(
  budget: RetryBudget,
  perSecond: number,
  seconds: number,
): number {
  let retries = 0;
  for (let now = 0; now < seconds * 1_000; now += 1_000 / perSecond) {
    budget.onRequest(now);
    for (let i = 0; i < 5; i++) if (budget.tryAcquire(now)) retries++;
  }
  return retries;
}

describe('RetryBudget', () => {
  it('bounds the retries caused by a failing member', () => {
    // A tenth of the requests, and the reserve of each window.
    const retries = countRetries(new RetryBudget(), 200, 10);
    expect(retries).toBeLessThanOrEqual(2_000 * 0.1 + 4 * 10);
    expect(retries).toBeGreaterThan(150);
  });

  it('allows retries among few requests', () => {
    const budget = new RetryBudget();
    budget.onRequest(0);
    expect([1, 2, 3].map(() => budget.tryAcquire(0))).toEqual([
      true,
      true,
      true,
    ]);
  });

  it('recovers after the window', () => {
    const budget = new RetryBudget();
    while (budget.tryAcquire(0));
    expect(budget.tryAcquire(3_000)).toBe(false);
    expect(budget.tryAcquire(4_500)).toBe(true);
  });
});

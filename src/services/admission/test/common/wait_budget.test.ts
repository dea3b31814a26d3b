import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {ClassAdmission} from '../../common/class_admission';

function makeClasses(): ClassAdmission {
  const classes = new ClassAdmission(new ManualClock());
  classes.setRoutes([0, 1, 2].map(priority => ({service: 'books', priority})));
  return classes;
}

const kindOf = (priority: number) => {
  return {service: 'books', priority, isTransaction: false};
};

/** The inputs of a new request. */
const newRequest = (objectiveMs: number) => {
  return {
    objectiveMs,
    statementTimeLeftMs: 2_500,
    dueInMs: objectiveMs,
    waitedMs: 0,
  };
};

describe('the wait budget by priority class', () => {
  it('is what the objective leaves after the work and a round trip', () => {
    const classes = makeClasses();
    for (let count = 0; count < 100; count++) classes.onDidWork(kindOf(1), 100);
    const budgetMs = classes.waitBudgetMs(kindOf(1), newRequest(1_000));
    expect(budgetMs).toBeGreaterThan(840);
    expect(budgetMs).toBeLessThanOrEqual(860);
  });

  it('is longest for the least urgent requests', () => {
    const classes = makeClasses();
    for (let count = 0; count < 100; count++) {
      for (const priority of [0, 1, 2]) classes.onDidWork(kindOf(priority), 40);
    }
    const budgets = [500, 1_000, 2_500].map((objective, priority) => {
      return classes.waitBudgetMs(kindOf(priority), newRequest(objective));
    });
    expect(budgets).toEqual([...budgets].sort((a, b) => a - b));
    // Most of the statement's time is left for the work and for a retry.
    expect(budgets[2]).toBe(1_000);
  });

  it('is shorter for work times that vary', () => {
    const classes = makeClasses();
    for (let count = 0; count < 100; count++) {
      classes.onDidWork(kindOf(1), count % 2 === 0 ? 20 : 180);
    }
    const budgetMs = classes.waitBudgetMs(kindOf(1), newRequest(1_000));
    expect(budgetMs).toBeLessThan(1_000 - 180 - 40);
  });

  it('leaves half of the objective to work of unknown duration', () => {
    // After a common start, requests wait for connects. With the budget without
    // classes, most of them would be refused and retried.
    const classes = makeClasses();
    expect(classes.waitBudgetMs(kindOf(0), newRequest(500))).toBe(210);
  });
});

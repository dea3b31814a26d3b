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

/** A request that has just come, with a statement limit of 2.5 s. */
const fresh = (objectiveMs: number) => {
  return {
    objectiveMs,
    statementTimeLeftMs: 2_500,
    dueInMs: objectiveMs,
    waitedMs: 0,
  };
};

describe('patience by class', () => {
  it('is what the objective leaves after the work and the way', () => {
    // A read that takes 100 ms of 1,000, and 40 ms for its way, is in time
    // after a wait of 860; refused after 250 its caller comes again.
    const classes = makeClasses();
    for (let count = 0; count < 100; count++) classes.onDidWork(kindOf(1), 100);
    const patience = classes.waitBudgetMs(kindOf(1), fresh(1_000));
    expect(patience).toBeGreaterThan(840);
    expect(patience).toBeLessThanOrEqual(860);
  });

  it('is longest for the least urgent', () => {
    const classes = makeClasses();
    for (let count = 0; count < 100; count++) {
      for (const priority of [0, 1, 2]) classes.onDidWork(kindOf(priority), 40);
    }
    const waits = [500, 1_000, 2_500].map((objective, priority) => {
      return classes.waitBudgetMs(kindOf(priority), fresh(objective));
    });
    expect(waits).toEqual([...waits].sort((a, b) => a - b));
    // Most of the statement's time is left for the work, and for another try.
    expect(waits[2]).toBe(1_000);
  });

  it('shrinks with work that varies', () => {
    const classes = makeClasses();
    for (let count = 0; count < 100; count++) {
      classes.onDidWork(kindOf(1), count % 2 === 0 ? 20 : 180);
    }
    const patience = classes.waitBudgetMs(kindOf(1), fresh(1_000));
    expect(patience).toBeLessThan(1_000 - 180 - 40);
  });

  it('leaves half of the objective to work of which nothing is known', () => {
    // All machines had no power; everybody asks at once while connections
    // open, some hundred milliseconds. Refused after a quarter, all of them
    // come again.
    const classes = makeClasses();
    expect(classes.waitBudgetMs(kindOf(0), fresh(500))).toBe(210);
  });
});

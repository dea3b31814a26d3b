import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {ClassAdmission} from '../../common/class_admission';
import {findPrioritizedServices} from '../../common/prioritized_services';

const routesOf = (service: string, ...priorities: number[]) => {
  return priorities.map(priority => ({service, priority}));
};

describe('the switch to admission by class', () => {
  it('is on with three priorities, or with the most urgent beside others', () => {
    const routes = [
      ...routesOf('three', 1, 2, 3, 3),
      ...routesOf('urgent', 0, 2),
      ...routesOf('earlier', 1, 2, 2),
    ];
    expect([...findPrioritizedServices(routes)]).toEqual(['three', 'urgent']);
  });

  it('is off where routes name no priority', () => {
    expect([...findPrioritizedServices(routesOf('plain', 0, 0, 0))]).toEqual(
      [],
    );
  });
});

describe('a service without classes', () => {
  // Earlier deployments have two priorities: how long their requests wait, and
  // how often they are tried, stays as it was.
  const classes = new ClassAdmission(new ManualClock());
  classes.setRoutes(routesOf('books', 1, 2));
  const kind = {service: 'books', priority: 1, isTransaction: false};

  it('waits for a quarter of the objective, whatever its work takes', () => {
    for (let count = 0; count < 50; count++) classes.onDidWork(kind, 5);
    const terms = {
      objectiveMs: 1_000,
      statementTimeLeftMs: 800,
      dueInMs: 900,
      waitedMs: 0,
    };
    expect(classes.waitBudgetMs(kind, terms)).toBe(250);
    expect(classes.waitBudgetMs(kind, {...terms, waitedMs: 100})).toBe(150);
    expect(
      classes.waitBudgetMs(kind, {...terms, statementTimeLeftMs: 300}),
    ).toBe(150);
    expect(classes.waitBudgetMs(kind, {...terms, dueInMs: -1})).toBe(400);
    expect(classes.waitBudgetMs(kind, {...terms, objectiveMs: 0})).toBe(400);
  });

  it('repeats without a budget', () => {
    for (let count = 0; count < 500; count++) {
      expect(classes.canRetry('books')).toBe(true);
    }
  });
});

import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {ClassAdmission} from '../../common/class_admission';
import {findPrioritizedServices} from '../../common/prioritized_services';

const routesOf = (service: string, ...priorities: number[]) => {
  return priorities.map(priority => ({service, priority}));
};

describe('findPrioritizedServices', () => {
  it('finds three priorities, or the most urgent beside another', () => {
    const routes = [
      ...routesOf('three', 1, 2, 3, 3),
      ...routesOf('urgent', 0, 2),
      ...routesOf('earlier', 1, 2, 2),
    ];
    expect([...findPrioritizedServices(routes)]).toEqual(['three', 'urgent']);
  });

  it('finds no service whose routes have no priority', () => {
    expect([...findPrioritizedServices(routesOf('plain', 0, 0, 0))]).toEqual(
      [],
    );
  });
});

describe('ClassAdmission of a service without classes', () => {
  const classes = new ClassAdmission(new ManualClock());
  classes.setRoutes(routesOf('books', 1, 2));
  const kind = {service: 'books', priority: 1, isTransaction: false};

  it('ignores work times in the wait budget', () => {
    for (let count = 0; count < 50; count++) classes.onDidWork(kind, 5);
    const inputs = {
      objectiveMs: 1_000,
      statementTimeLeftMs: 800,
      dueInMs: 900,
      waitedMs: 0,
    };
    expect(classes.waitBudgetMs(kind, inputs)).toBe(250);
    expect(classes.waitBudgetMs(kind, {...inputs, waitedMs: 100})).toBe(150);
    expect(
      classes.waitBudgetMs(kind, {...inputs, statementTimeLeftMs: 300}),
    ).toBe(150);
    expect(classes.waitBudgetMs(kind, {...inputs, dueInMs: -1})).toBe(400);
    expect(classes.waitBudgetMs(kind, {...inputs, objectiveMs: 0})).toBe(400);
  });

  it('does not limit retries', () => {
    for (let count = 0; count < 500; count++) {
      expect(classes.tryTakeRetry('books')).toBe(true);
    }
  });
});

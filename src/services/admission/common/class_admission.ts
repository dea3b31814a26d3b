import type {Clock} from '../../../base/common/clock';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import {findPrioritizedServices} from './prioritized_services';
import {
  computeWaitBudgetByClass,
  computeWaitBudget,
  type WaitBudgetInputs,
} from './wait_budget';
import {RetryBudget} from './retry_budget';
import {WorkTimes, type WorkKind} from './work_times';

/**
 * Admission control by priority class: wait budgets from measured work times,
 * and retry budgets. For services without classes, the wait budget is a fixed
 * fraction of the objective, and retries are not limited.
 */
export class ClassAdmission {
  private prioritized: ReadonlySet<string> = new Set();
  private readonly workTimes = new WorkTimes();
  private readonly retryBudgets = new Map<string, RetryBudget>();

  constructor(private readonly clock: Clock) {}

  setRoutes(
    routes: readonly Pick<DatabaseRoute, 'service' | 'priority'>[],
  ): void {
    this.prioritized = findPrioritizedServices(routes);
    for (const service of this.retryBudgets.keys()) {
      if (!this.prioritized.has(service)) this.retryBudgets.delete(service);
    }
  }

  isEnabled(service: string): boolean {
    return this.prioritized.has(service);
  }

  /** How long a request may wait for a connection. */
  waitBudgetMs(kind: WorkKind, inputs: WaitBudgetInputs): number {
    if (!this.isEnabled(kind.service)) return computeWaitBudget(inputs);
    return computeWaitBudgetByClass(inputs, this.workTimes.upperBoundMs(kind));
  }

  /** The wait budget of work that takes no time, an upper bound for all. */
  maxWaitBudgetMs(inputs: WaitBudgetInputs): number {
    return computeWaitBudgetByClass(inputs, 0);
  }

  /** Records how long work took on a member. */
  onDidWork(kind: WorkKind, workMs: number): void {
    if (this.isEnabled(kind.service)) this.workTimes.record(kind, workMs);
  }

  /** Records a request, which extends the retry budget of its service. */
  onRequest(service: string): void {
    this.retryBudgetOf(service)?.onRequest(this.clock.now());
  }

  /** Takes one retry of a service's budget; false if it is exhausted. */
  tryTakeRetry(service: string): boolean {
    return this.retryBudgetOf(service)?.tryAcquire(this.clock.now()) ?? true;
  }

  private retryBudgetOf(service: string): RetryBudget | undefined {
    if (!this.isEnabled(service)) return undefined;
    const budget = this.retryBudgets.get(service) ?? new RetryBudget();
    this.retryBudgets.set(service, budget);
    return budget;
  }
}

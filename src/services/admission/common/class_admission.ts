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
 * What one instance knows for admitting requests by class: for which services
 * it is on, what their work takes, and how much may be repeated. With it off,
 * patience is a part of the objective and repeats have no budget.
 */
export class ClassAdmission {
  private services: ReadonlySet<string> = new Set();
  private readonly times = new WorkTimes();
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly clock: Clock) {}

  setRoutes(
    routes: readonly Pick<DatabaseRoute, 'service' | 'priority'>[],
  ): void {
    this.services = findPrioritizedServices(routes);
    for (const service of this.budgets.keys()) {
      if (!this.services.has(service)) this.budgets.delete(service);
    }
  }

  isEnabled(service: string): boolean {
    return this.services.has(service);
  }

  /** How long a request may wait for a place, in milliseconds. */
  waitBudgetMs(kind: WorkKind, terms: WaitBudgetInputs): number {
    if (!this.isEnabled(kind.service)) return computeWaitBudget(terms);
    return computeWaitBudgetByClass(terms, this.times.upperBoundMs(kind));
  }

  /** The same for work that takes no time: nothing waits longer in time. */
  maxWaitBudgetMs(terms: WaitBudgetInputs): number {
    return computeWaitBudgetByClass(terms, 0);
  }

  /** Takes note of what work took at members, in milliseconds. */
  onDidWork(kind: WorkKind, tookMs: number): void {
    if (this.isEnabled(kind.service)) this.times.record(kind, tookMs);
  }

  /** Takes note of a request, of which a part may be repeated. */
  onRequest(service: string): void {
    this.budgetOf(service)?.onRequest(this.clock.now());
  }

  /** Whether one more request of a service may be repeated. */
  canRetry(service: string): boolean {
    return this.budgetOf(service)?.take(this.clock.now()) ?? true;
  }

  private budgetOf(service: string): RetryBudget | undefined {
    if (!this.isEnabled(service)) return undefined;
    const known = this.budgets.get(service) ?? new RetryBudget();
    this.budgets.set(service, known);
    return known;
  }
}

import type {Clock} from '../../../base/common/clock';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import {servicesByClass} from './class_switch';
import {patienceByClass, plainPatience, type PatienceTerms} from './patience';
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
    this.services = servicesByClass(routes);
    for (const service of this.budgets.keys()) {
      if (!this.services.has(service)) this.budgets.delete(service);
    }
  }

  isOn(service: string): boolean {
    return this.services.has(service);
  }

  /** How long a request may wait for a place, in milliseconds. */
  patienceOf(kind: WorkKind, terms: PatienceTerms): number {
    if (!this.isOn(kind.service)) return plainPatience(terms);
    return patienceByClass(terms, this.times.mostOf(kind));
  }

  /** The same for work that takes no time: nothing waits longer in time. */
  mostPatience(terms: PatienceTerms): number {
    return patienceByClass(terms, 0);
  }

  /** Takes note of what work took at members, in milliseconds. */
  onWorked(kind: WorkKind, tookMs: number): void {
    if (this.isOn(kind.service)) this.times.note(kind, tookMs);
  }

  /** Takes note of a request, of which a part may be repeated. */
  onRequest(service: string): void {
    this.budgetOf(service)?.onRequest(this.clock.now());
  }

  /** Whether one more request of a service may be repeated. */
  mayRepeat(service: string): boolean {
    return this.budgetOf(service)?.take(this.clock.now()) ?? true;
  }

  private budgetOf(service: string): RetryBudget | undefined {
    if (!this.isOn(service)) return undefined;
    const known = this.budgets.get(service) ?? new RetryBudget();
    this.budgets.set(service, known);
    return known;
  }
}

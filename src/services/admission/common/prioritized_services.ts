import type {DatabaseRoute} from '../../../schema/generated/fleet';

const MIN_PRIORITY_COUNT = 3;
const MOST_URGENT_PRIORITY = 0;

/**
 * Finds the services whose requests are admitted by priority class: those with
 * enough priorities, or with the most urgent one beside another. Routes without
 * a priority all have the same one and form no classes.
 */
export function findPrioritizedServices(
  routes: readonly Pick<DatabaseRoute, 'service' | 'priority'>[],
): ReadonlySet<string> {
  const priorities = new Map<string, Set<number>>();
  for (const {service, priority} of routes) {
    const servicePriorities = priorities.get(service) ?? new Set();
    priorities.set(service, servicePriorities.add(priority));
  }
  const chosen = [...priorities].filter(([, servicePriorities]) => {
    const hasMostUrgent =
      servicePriorities.has(MOST_URGENT_PRIORITY) && servicePriorities.size > 1;
    return servicePriorities.size >= MIN_PRIORITY_COUNT || hasMostUrgent;
  });
  return new Set(chosen.map(([service]) => service));
}

import type {DatabaseRoute} from '../../../schema/generated/fleet';

/** So many priorities on one service are classes of their own. */
const LEAST_PRIORITIES = 3;
/** What an operator gives to the requests that are worth most. */
const MOST_URGENT = 0;

/**
 * The services whose requests are admitted by class: those with three
 * priorities or more, or with the most urgent one beside another. Routes that
 * name no priority all have the same one, and so no classes.
 */
export function findPrioritizedServices(
  routes: readonly Pick<DatabaseRoute, 'service' | 'priority'>[],
): ReadonlySet<string> {
  const priorities = new Map<string, Set<number>>();
  for (const {service, priority} of routes) {
    const known = priorities.get(service) ?? new Set();
    priorities.set(service, known.add(priority));
  }
  const chosen = [...priorities].filter(([, own]) => {
    const hasMostUrgent = own.has(MOST_URGENT) && own.size > 1;
    return own.size >= LEAST_PRIORITIES || hasMostUrgent;
  });
  return new Set(chosen.map(([service]) => service));
}

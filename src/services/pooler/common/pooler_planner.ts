import type {PoolerEntry} from '../../../schema/generated/fleet';
import {
  planPoolers,
  type PoolerCandidate,
  type PooledService,
} from './pooler_plan';

/**
 * Delay before a new leader assigns poolers, so that they are not all given to
 * the first proxies that connect.
 */
const STARTUP_DELAY_MS = 1_000;
/**
 * How long a disconnected pooler keeps its assignment: longer than proxies take
 * to reconnect after a change of leader. Reassigning poolers would reopen
 * nearly all connections, and proxies find out by themselves whether they still
 * reach a pooler.
 */
const RECONNECT_GRACE_MS = 3_000;

/** The inputs of a plan. */
interface PlanInputs {
  readonly services: readonly PooledService[];
  readonly current: readonly PoolerEntry[];
  readonly candidates: string;
}

/**
 * Plans the assignment of poolers during one leadership.
 *
 * Guard: a plan is computed only if its inputs changed. Computed on every tick,
 * it would take most of the processor time of a control instance in a large
 * deployment.
 */
export class PoolerPlanner {
  private readonly startedAt: number;
  /** Disconnected poolers, by the time at which they were missed first. */
  private readonly missingSince = new Map<string, number>();
  /** Inputs of the last plan that changed nothing. */
  private unchanged: PlanInputs | undefined;

  constructor(now: number) {
    this.startedAt = now;
  }

  /** Returns the new assignment, or undefined if the current one stays. */
  plan(
    services: readonly PooledService[],
    attached: readonly PoolerCandidate[],
    current: readonly PoolerEntry[],
    now: number,
  ): PoolerEntry[] | undefined {
    if (now - this.startedAt < STARTUP_DELAY_MS) return undefined;
    const missing = this.recentlyMissing(attached, current, now);
    const candidates = [...attached, ...missing];
    const inputs = {services, current, candidates: candidateKeyOf(candidates)};
    if (this.unchanged && isSameInput(inputs, this.unchanged)) return undefined;
    const planned = planPoolers(services, candidates, current);
    if (!isSamePlan(planned, current)) return planned;
    this.unchanged = inputs;
    return undefined;
  }

  /** Disconnected poolers that are still within their grace period. */
  private recentlyMissing(
    attached: readonly PoolerCandidate[],
    current: readonly PoolerEntry[],
    now: number,
  ): PoolerCandidate[] {
    const present = new Set(attached.map(({instance}) => instance));
    for (const instance of present) this.missingSince.delete(instance);
    const kept = new Map<string, PoolerCandidate>();
    for (const entry of current) {
      const {instance} = entry;
      if (present.has(instance)) continue;
      const missingSince = this.missingSince.get(instance) ?? now;
      this.missingSince.set(instance, missingSince);
      if (now - missingSince < RECONNECT_GRACE_MS) kept.set(instance, entry);
    }
    return [...kept.values()];
  }
}

/** A proxy that returns at another address is a different candidate. */
function candidateKeyOf(candidates: readonly PoolerCandidate[]): string {
  return candidates
    .map(candidate => `${candidate.instance} ${candidate.address}`)
    .join();
}

/** Lists are compared by identity: each change creates a new list. */
function isSameInput(a: PlanInputs, b: PlanInputs): boolean {
  return (
    a.services === b.services &&
    a.current === b.current &&
    a.candidates === b.candidates
  );
}

function isSamePlan(a: readonly PoolerEntry[], b: readonly PoolerEntry[]) {
  if (a.length !== b.length) return false;
  return a.every(({service, instance, address}, index) => {
    const other = b[index]!;
    const isSameRole = other.service === service && other.instance === instance;
    return isSameRole && other.address === address;
  });
}

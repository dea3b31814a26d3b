import type {PoolerEntry} from '../../../schema/generated/fleet';
import {planPoolers, type Candidate, type PooledService} from './pooler_plan';

/**
 * A new leader names poolers once its proxies had time to come back and say
 * which they are, in milliseconds: else each election would move all of them.
 */
const SETTLE_MS = 1_000;
/**
 * A pooler that lost its stream to control keeps its part for so long, in ms:
 * proxies find out by themselves whether they still reach it.
 */
const GRACE_MS = 2_000;

/** The poolers that a leader of control has named. */
export class PoolerRegistry {
  private named: readonly PoolerEntry[] = [];
  private changes = 0;
  private startedAt: number | undefined;
  /** Poolers without a stream to control, and since when. */
  private readonly missingSince = new Map<string, number>();

  get poolers(): readonly PoolerEntry[] {
    return this.named;
  }

  /** Increases with each change that proxies must hear of. */
  get revision(): number {
    return this.changes;
  }

  /** Whether enough proxies had time to come for the list to be told. */
  isSettled(now: number): boolean {
    return this.startedAt !== undefined && now - this.startedAt >= SETTLE_MS;
  }

  /** Names of the poolers of a service. */
  instancesOf(service: string): string[] {
    const own = this.named.filter(other => other.service === service);
    return own.map(({instance}) => instance);
  }

  /** Forgets everything: this instance does not lead any more. */
  reset(): void {
    this.named = [];
    this.startedAt = undefined;
    this.missingSince.clear();
  }

  /** Takes over what a proxy says it keeps, from the leader before. */
  adopt(candidate: Candidate, services: readonly string[]): void {
    const {instance, site, address} = candidate;
    for (const service of services) {
      if (this.instancesOf(service).includes(instance)) continue;
      const entry = {service, instance, site, address};
      this.named = [...this.named, entry];
      this.changes++;
    }
  }

  /** Names poolers anew; whether anything changed. */
  update(
    services: readonly PooledService[],
    attached: readonly Candidate[],
    now: number,
  ): boolean {
    this.startedAt ??= now;
    if (!this.isSettled(now)) return false;
    const candidates = [...attached, ...this.missing(attached, now)];
    const planned = planPoolers(services, candidates, this.named);
    if (isSamePlan(planned, this.named)) return false;
    this.named = planned;
    this.changes++;
    return true;
  }

  /** Poolers that were attached a moment ago. */
  private missing(attached: readonly Candidate[], now: number): Candidate[] {
    const present = new Set(attached.map(({instance}) => instance));
    for (const instance of present) this.missingSince.delete(instance);
    const kept = new Map<string, Candidate>();
    for (const entry of this.named) {
      const {instance} = entry;
      if (present.has(instance)) continue;
      const since = this.missingSince.get(instance) ?? now;
      this.missingSince.set(instance, since);
      if (now - since < GRACE_MS) kept.set(instance, entry);
    }
    return [...kept.values()];
  }
}

function isSamePlan(a: readonly PoolerEntry[], b: readonly PoolerEntry[]) {
  if (a.length !== b.length) return false;
  return a.every(({service, instance, address}, at) => {
    const other = b[at]!;
    const isSame = other.service === service && other.instance === instance;
    return isSame && other.address === address;
  });
}

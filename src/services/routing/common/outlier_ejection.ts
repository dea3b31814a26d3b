import type {InstanceId} from '../../../base/common/ids';

/** Failures in a row after which a target is left alone. */
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 500;
const MOST_EJECTION_MS = 10_000;
/** After its return a target takes this many transactions at most... */
const RETURN_CONCURRENCY = 1;
/** ...for so long, in milliseconds. */
const RETURN_MS = 1_000;

interface TargetHealth {
  failures: number;
  ejections: number;
  ejectedUntil: number;
  gentleUntil: number;
}

/**
 * Targets that keep failing are left alone for a while and come back slowly.
 * Not the last one: with fewer than the floor left nobody is ejected, since a
 * fault that all share is no fault of the targets.
 */
export class OutlierEjection {
  private readonly targets = new Map<InstanceId, TargetHealth>();

  constructor(private readonly leastUsable: number) {}

  onSuccess(instance: InstanceId, now: number): void {
    const health = this.healthOf(instance);
    health.failures = 0;
    if (now >= health.gentleUntil) health.ejections = 0;
  }

  onFailure(instance: InstanceId, usable: number, now: number): void {
    const health = this.healthOf(instance);
    health.failures++;
    if (health.failures < FAILURES_TO_EJECT) return;
    if (usable <= this.leastUsable) return;
    health.failures = 0;
    const wait = FIRST_EJECTION_MS * 2 ** health.ejections++;
    health.ejectedUntil = now + Math.min(wait, MOST_EJECTION_MS);
    health.gentleUntil = health.ejectedUntil + RETURN_MS;
  }

  isEjected(instance: InstanceId, now: number): boolean {
    return now < (this.targets.get(instance)?.ejectedUntil ?? 0);
  }

  /** How many transactions a target may run now. */
  concurrencyLimitOf(instance: InstanceId, now: number): number {
    const gentle = now < (this.targets.get(instance)?.gentleUntil ?? 0);
    return gentle ? RETURN_CONCURRENCY : Infinity;
  }

  private healthOf(instance: InstanceId): TargetHealth {
    const known = this.targets.get(instance);
    if (known) return known;
    const health = {
      failures: 0,
      ejections: 0,
      ejectedUntil: 0,
      gentleUntil: 0,
    };
    this.targets.set(instance, health);
    return health;
  }
}

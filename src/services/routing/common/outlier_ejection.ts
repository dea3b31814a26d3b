import type {InstanceId} from '../../../base/common/ids';

/** Consecutive failures after which a target is ejected. */
const FAILURES_TO_EJECT = 3;
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 10_000;
const RECOVERY_CONCURRENCY = 1;
const RECOVERY_MS = 1_000;

interface TargetHealth {
  failureCount: number;
  ejectionCount: number;
  ejectedUntil: number;
  recoveringUntil: number;
}

/**
 * Ejects targets that fail repeatedly for a while, and limits their concurrency
 * after their return. A minimum of usable targets is never ejected, since
 * failures of all targets have a common cause.
 */
export class OutlierEjection {
  private readonly targets = new Map<InstanceId, TargetHealth>();

  constructor(private readonly minUsableCount: number) {}

  onSuccess(instance: InstanceId, now: number): void {
    const health = this.getHealth(instance);
    health.failureCount = 0;
    if (now >= health.recoveringUntil) health.ejectionCount = 0;
  }

  onFailure(instance: InstanceId, usableCount: number, now: number): void {
    const health = this.getHealth(instance);
    health.failureCount++;
    if (health.failureCount < FAILURES_TO_EJECT) return;
    if (usableCount <= this.minUsableCount) return;
    health.failureCount = 0;
    const ejectionMs = MIN_EJECTION_MS * 2 ** health.ejectionCount++;
    health.ejectedUntil = now + Math.min(ejectionMs, MAX_EJECTION_MS);
    health.recoveringUntil = health.ejectedUntil + RECOVERY_MS;
  }

  isEjected(instance: InstanceId, now: number): boolean {
    return now < (this.targets.get(instance)?.ejectedUntil ?? 0);
  }

  /** How many transactions a target may run at a time. */
  concurrencyLimitOf(instance: InstanceId, now: number): number {
    const isRecovering =
      now < (this.targets.get(instance)?.recoveringUntil ?? 0);
    return isRecovering ? RECOVERY_CONCURRENCY : Infinity;
  }

  private getHealth(instance: InstanceId): TargetHealth {
    const existing = this.targets.get(instance);
    if (existing) return existing;
    const health = {
      failureCount: 0,
      ejectionCount: 0,
      ejectedUntil: 0,
      recoveringUntil: 0,
    };
    this.targets.set(instance, health);
    return health;
  }
}

const DEFAULT_TIME_CONSTANT_MS = 2_000;

/** An exponentially smoothed rate of events. */
export class DecayedRate {
  private weight = 0;

  constructor(
    private updatedAt: number,
    private readonly timeConstantMs = DEFAULT_TIME_CONSTANT_MS,
  ) {}

  add(count: number, now: number): void {
    this.decay(now);
    this.weight += count;
  }

  perSecond(now: number): number {
    this.decay(now);
    return (this.weight / this.timeConstantMs) * 1_000;
  }

  private decay(now: number): void {
    const elapsedMs = Math.max(0, now - this.updatedAt);
    this.weight *= Math.exp(-elapsedMs / this.timeConstantMs);
    this.updatedAt = now;
  }
}

/** Usually events are forgotten with this time constant, in milliseconds. */
const MEMORY_MS = 2_000;

/** A rate of events, smoothed over the last seconds. */
export class DecayedRate {
  private weight = 0;

  constructor(
    private at: number,
    private readonly memoryMs = MEMORY_MS,
  ) {}

  add(count: number, now: number): void {
    this.decay(now);
    this.weight += count;
  }

  /** Events a second. */
  perSecond(now: number): number {
    this.decay(now);
    return (this.weight / this.memoryMs) * 1_000;
  }

  private decay(now: number): void {
    const passed = Math.max(0, now - this.at);
    this.weight *= Math.exp(-passed / this.memoryMs);
    this.at = now;
  }
}

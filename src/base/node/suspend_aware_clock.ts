import type {Clock} from '../common/clock';

/** Smaller differences to the steady clock are not a suspension. */
const WALL_CLOCK_JITTER_MS = 5;

/**
 * A monotonic clock that includes time in which the machine was suspended.
 *
 * Guard: the steady clock stops during a suspension, so stale data would still
 * count as fresh and be read. Where the wall clock advanced further, its step
 * counts; if it was set forward, data only looks older, which is safe.
 */
export class SuspendAwareClock implements Clock {
  private time = 0;
  private lastSteadyTime: number;
  private lastWallTime: number;

  constructor(
    private readonly steadyClock: Clock,
    private readonly wallClock: () => number,
  ) {
    this.lastSteadyTime = steadyClock.now();
    this.lastWallTime = wallClock();
  }

  now(): number {
    const steadyTime = this.steadyClock.now();
    const wallTime = this.wallClock();
    const steadyMs = steadyTime - this.lastSteadyTime;
    const wallMs = wallTime - this.lastWallTime;
    this.time += wallMs > steadyMs + WALL_CLOCK_JITTER_MS ? wallMs : steadyMs;
    this.lastSteadyTime = steadyTime;
    this.lastWallTime = wallTime;
    return this.time;
  }
}

import type {Clock} from '../common/clock';

/** Steps of the time of day below this are its normal jitter, in ms. */
const JITTER_MS = 5;

/**
 * A monotonic clock that also counts time in which the machine was suspended.
 *
 * Guard: the steady clock stands still while a machine is suspended, so
 * whatever was fresh before would still look fresh after it, and a read could
 * be older than promised. The time of day goes on; where it moved further than
 * the steady clock between two looks, its step counts. A time of day that is
 * set forward makes things look older than they are, which is safe.
 */
export class SuspensionClock implements Clock {
  private time = 0;
  private lastSteady: number;
  private lastDay: number;

  constructor(
    private readonly steady: Clock,
    private readonly timeOfDay: () => number,
  ) {
    this.lastSteady = steady.now();
    this.lastDay = timeOfDay();
  }

  now(): number {
    const steady = this.steady.now();
    const day = this.timeOfDay();
    const bySteady = steady - this.lastSteady;
    const byDay = day - this.lastDay;
    this.time += byDay > bySteady + JITTER_MS ? byDay : bySteady;
    this.lastSteady = steady;
    this.lastDay = day;
    return this.time;
  }
}

/** A monotonic clock. */
export interface Clock {
  /** Milliseconds since an arbitrary start. */
  now(): number;
}

/** A clock for tests that moves only when told to. */
export class ManualClock implements Clock {
  constructor(private time = 0) {}

  now(): number {
    return this.time;
  }

  advance(milliseconds: number): void {
    this.time += milliseconds;
  }
}

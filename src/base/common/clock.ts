/** A clock that never goes back and is never set. */
export interface Clock {
  /** Milliseconds since an arbitrary start. */
  now(): number;
}

/** A clock that tests move by hand. */
export class ManualClock implements Clock {
  constructor(private time = 0) {}

  now(): number {
    return this.time;
  }

  advance(milliseconds: number): void {
    this.time += milliseconds;
  }
}

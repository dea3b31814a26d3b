/** Periods are rounded to multiples of this, to share wake-ups. */
export const TICK_MS = 50;
/** Timers may fire this much too early. */
const TIMER_TOLERANCE_MS = 1;

/** A callback that runs periodically. */
export interface PeriodicCallback {
  /** Time until the next run, in milliseconds; Infinity while idle. */
  periodMs(): number;
  onDidTick(): void;
}

/**
 * Runs all periodic callbacks of a process from one timer, since separate
 * timers for each service and link would wake up an idle process often.
 */
export class Ticker {
  private readonly dueTimes = new Map<PeriodicCallback, number>();
  private timer: NodeJS.Timeout | undefined;
  private timerDueAt = Infinity;

  constructor(private readonly now: () => number) {}

  /** Adds a callback, or reschedules it with its current period. */
  schedule(periodic: PeriodicCallback): void {
    const dueAt = this.computeDueAt(periodic);
    this.dueTimes.set(periodic, dueAt);
    if (dueAt < this.timerDueAt) this.arm(dueAt);
  }

  remove(periodic: PeriodicCallback): void {
    this.dueTimes.delete(periodic);
    if (this.dueTimes.size === 0) this.disarm();
  }

  /** Aligns callbacks of the same period, so that they run together. */
  private computeDueAt(periodic: PeriodicCallback): number {
    const periodMs = periodic.periodMs();
    if (periodMs === Infinity) return Infinity;
    const intervalMs = Math.max(1, Math.round(periodMs / TICK_MS)) * TICK_MS;
    return Math.round((this.now() + intervalMs) / intervalMs) * intervalMs;
  }

  private arm(dueAt: number): void {
    this.disarm();
    if (dueAt === Infinity) return;
    this.timerDueAt = dueAt;
    const delayMs = Math.max(1, Math.ceil(dueAt - this.now()));
    this.timer = setTimeout(() => this.run(), delayMs);
  }

  private disarm(): void {
    clearTimeout(this.timer);
    this.timerDueAt = Infinity;
  }

  private run(): void {
    const now = this.now() + TIMER_TOLERANCE_MS;
    for (const [periodic, dueAt] of [...this.dueTimes]) {
      if (dueAt > now || this.dueTimes.get(periodic) !== dueAt) continue;
      periodic.onDidTick();
      if (!this.dueTimes.has(periodic)) continue;
      this.dueTimes.set(periodic, this.computeDueAt(periodic));
    }
    this.arm(Math.min(Infinity, ...this.dueTimes.values()));
  }
}

/** The ticker that all timers of this process share. */
export const processTicker = new Ticker(() => performance.now());

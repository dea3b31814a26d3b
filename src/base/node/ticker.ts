/**
 * What a process does periodically comes at multiples of this, in milliseconds:
 * a wake-up costs more than most of what it is for.
 */
export const GRID_MS = 50;
/** A timer may come so much before its time, in milliseconds. */
const EARLY_MS = 1;

/** A callback that comes again and again. */
export interface PeriodicCallback {
  /** How long until it comes next, in milliseconds; Infinity: it rests. */
  periodMs(): number;
  onDidCome(): void;
}

/**
 * One timer for all that a process does periodically.
 *
 * With a timer of its own for each service and each link, a process that has
 * nothing to do would wake up for one after the other.
 */
export class Ticker {
  private readonly dueAt = new Map<PeriodicCallback, number>();
  private timer: NodeJS.Timeout | undefined;
  private armedFor = Infinity;

  constructor(private readonly now: () => number) {}

  /** Begins a callback, or has it come at its period as it is now. */
  schedule(periodic: PeriodicCallback): void {
    const at = this.nextFor(periodic);
    this.dueAt.set(periodic, at);
    if (at < this.armedFor) this.arm(at);
  }

  remove(periodic: PeriodicCallback): void {
    this.dueAt.delete(periodic);
    if (this.dueAt.size === 0) this.disarm();
  }

  /** Those of the same period come together. */
  private nextFor(periodic: PeriodicCallback): number {
    const periodMs = periodic.periodMs();
    if (periodMs === Infinity) return Infinity;
    const step = Math.max(1, Math.round(periodMs / GRID_MS)) * GRID_MS;
    return Math.round((this.now() + step) / step) * step;
  }

  private arm(at: number): void {
    this.disarm();
    if (at === Infinity) return;
    this.armedFor = at;
    const restMs = Math.max(1, Math.ceil(at - this.now()));
    this.timer = setTimeout(() => this.run(), restMs);
  }

  private disarm(): void {
    clearTimeout(this.timer);
    this.armedFor = Infinity;
  }

  private run(): void {
    const now = this.now() + EARLY_MS;
    for (const [periodic, at] of [...this.dueAt]) {
      if (at > now || this.dueAt.get(periodic) !== at) continue;
      periodic.onDidCome();
      if (!this.dueAt.has(periodic)) continue;
      this.dueAt.set(periodic, this.nextFor(periodic));
    }
    this.arm(Math.min(Infinity, ...this.dueAt.values()));
  }
}

/** The ticker of this process. */
export const processTicker = new Ticker(() => performance.now());

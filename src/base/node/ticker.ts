/**
 * What a process does periodically comes at multiples of this, in milliseconds:
 * a wake-up costs more than most of what it is for.
 */
export const GRID_MS = 50;
/** A timer may come so much before its time, in milliseconds. */
const EARLY_MS = 1;

/** Something that comes again and again. */
export interface Beat {
  /** How long until it comes next, in milliseconds; Infinity: it rests. */
  periodMs(): number;
  onDidCome(): void;
}

/**
 * One timer for all that a process does periodically.
 *
 * Buys: each service and each link had a timer of its own, and a proxy with six
 * services woke up 200 times a second with nothing to do.
 */
export class Ticker {
  private readonly dueAt = new Map<Beat, number>();
  private timer: NodeJS.Timeout | undefined;
  private armedFor = Infinity;

  constructor(private readonly now: () => number) {}

  /** Begins a beat, or has it come at its period as it is now. */
  schedule(beat: Beat): void {
    const at = this.nextFor(beat);
    this.dueAt.set(beat, at);
    if (at < this.armedFor) this.arm(at);
  }

  remove(beat: Beat): void {
    this.dueAt.delete(beat);
    if (this.dueAt.size === 0) this.disarm();
  }

  /** Beats of the same period come together. */
  private nextFor(beat: Beat): number {
    const periodMs = beat.periodMs();
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
    for (const [beat, at] of [...this.dueAt]) {
      if (at > now || this.dueAt.get(beat) !== at) continue;
      beat.onDidCome();
      if (this.dueAt.has(beat)) this.dueAt.set(beat, this.nextFor(beat));
    }
    this.arm(Math.min(Infinity, ...this.dueAt.values()));
  }
}

/** The ticker of this process. */
export const processTicker = new Ticker(() => performance.now());

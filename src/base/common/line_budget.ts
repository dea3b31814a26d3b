import type {Clock} from './clock';

/** Lines of one kind in the current period. */
interface KindCount {
  written: number;
  omitted: number;
}

const PERIOD_MS = 1_000;

/**
 * Limits the log lines of each kind per second, so that logging every refusal
 * under overload does not take processor time from requests.
 */
export class LineBudget {
  private readonly counts = new Map<string, KindCount>();
  private periodEndsAt = -Infinity;

  constructor(
    private readonly linesPerSecond: number,
    private readonly clock: Clock,
  ) {}

  /** Takes one line of a kind from the budget; false if it is exhausted. */
  tryTake(kind: string): boolean {
    const count = this.counts.get(kind) ?? {written: 0, omitted: 0};
    this.counts.set(kind, count);
    if (count.written < this.linesPerSecond) {
      count.written++;
      return true;
    }
    count.omitted++;
    return false;
  }

  /** Counts of omitted lines by kind, once after each period. */
  takeOmitted(): ReadonlyMap<string, number> {
    const now = this.clock.now();
    if (now < this.periodEndsAt) return NONE_OMITTED;
    this.periodEndsAt = now + PERIOD_MS;
    const omitted = new Map<string, number>();
    for (const [kind, count] of this.counts) {
      if (count.omitted > 0) omitted.set(kind, count.omitted);
    }
    this.counts.clear();
    return omitted;
  }
}

const NONE_OMITTED: ReadonlyMap<string, number> = new Map();

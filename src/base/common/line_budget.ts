import type {Clock} from './clock';

/** How a kind of line is doing in the current period. */
interface Count {
  lines: number;
  omitted: number;
}

const PERIOD_MS = 1_000;

/**
 * Bounds how many lines of one kind are logged in a second. Under the heaviest
 * load refusals come by the thousand, and writing each of them would take the
 * processor from those that can be served.
 */
export class LineBudget {
  private readonly counts = new Map<string, Count>();
  private periodEnds = -Infinity;

  constructor(
    private readonly linesPerSecond: number,
    private readonly clock: Clock,
  ) {}

  /** Whether one more line of a kind may be written now. */
  take(kind: string): boolean {
    const count = this.counts.get(kind) ?? {lines: 0, omitted: 0};
    this.counts.set(kind, count);
    if (count.lines < this.linesPerSecond) {
      count.lines++;
      return true;
    }
    count.omitted++;
    return false;
  }

  /** The kinds of which lines were left out in a period that is over. */
  settle(): ReadonlyMap<string, number> {
    const now = this.clock.now();
    if (now < this.periodEnds) return NOTHING;
    this.periodEnds = now + PERIOD_MS;
    const omitted = new Map<string, number>();
    for (const [kind, count] of this.counts) {
      if (count.omitted > 0) omitted.set(kind, count.omitted);
    }
    this.counts.clear();
    return omitted;
  }
}

const NOTHING: ReadonlyMap<string, number> = new Map();

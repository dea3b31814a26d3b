/** Weight of a new time: it follows a change within about ten. */
const WEIGHT = 0.1;
/** So many mean deviations beyond the mean cover most of the work. */
const DEVIATIONS = 2;
/** Before so many were seen, nothing is known of a kind. */
const LEAST_SEEN = 10;
/** Kinds that are kept; services and priorities are some tens. */
const MOST_KINDS = 512;

/** A kind of work, as far as its time matters. */
export interface WorkKind {
  readonly service: string;
  readonly priority: number;
  readonly isTransaction: boolean;
}

interface Times {
  seen: number;
  meanMs: number;
  deviationMs: number;
}

/** What work takes at members once it has its place, by service and kind. */
export class WorkTimes {
  private readonly kinds = new Map<string, Times>();

  /** Takes note of what a piece of work took, in milliseconds. */
  record(kind: WorkKind, tookMs: number): void {
    const key = keyOf(kind);
    const times = this.kinds.get(key);
    if (!times) {
      if (this.kinds.size >= MOST_KINDS) return;
      this.kinds.set(key, {seen: 1, meanMs: tookMs, deviationMs: tookMs / 2});
      return;
    }
    const error = tookMs - times.meanMs;
    times.seen++;
    times.meanMs += error * WEIGHT;
    times.deviationMs += (Math.abs(error) - times.deviationMs) * WEIGHT;
  }

  /** What most work of a kind stays within; undefined while unknown. */
  upperBoundMs(kind: WorkKind): number | undefined {
    const times = this.kinds.get(keyOf(kind));
    if (!times || times.seen < LEAST_SEEN) return undefined;
    return times.meanMs + times.deviationMs * DEVIATIONS;
  }
}

function keyOf({service, priority, isTransaction}: WorkKind): string {
  return `${service} ${priority} ${isTransaction}`;
}

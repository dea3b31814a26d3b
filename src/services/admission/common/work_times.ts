const SAMPLE_WEIGHT = 0.1;
/** Mean deviations above the mean that cover most of the work. */
const DEVIATION_COUNT = 2;
/** With fewer samples nothing is known of a kind of work. */
const MIN_SAMPLE_COUNT = 10;
const MAX_KIND_COUNT = 512;

/** Work with similar durations. */
export interface WorkKind {
  readonly service: string;
  readonly priority: number;
  readonly isTransaction: boolean;
}

interface Statistics {
  sampleCount: number;
  meanMs: number;
  deviationMs: number;
}

/** Measures how long work takes on members, by kind. */
export class WorkTimes {
  private readonly timesByKind = new Map<string, Statistics>();

  record(kind: WorkKind, workMs: number): void {
    const key = makeKey(kind);
    const times = this.timesByKind.get(key);
    if (!times) {
      if (this.timesByKind.size >= MAX_KIND_COUNT) return;
      this.timesByKind.set(key, {
        sampleCount: 1,
        meanMs: workMs,
        deviationMs: workMs / 2,
      });
      return;
    }
    const errorMs = workMs - times.meanMs;
    times.sampleCount++;
    times.meanMs += errorMs * SAMPLE_WEIGHT;
    times.deviationMs +=
      (Math.abs(errorMs) - times.deviationMs) * SAMPLE_WEIGHT;
  }

  /** An upper bound for most work of a kind; undefined while unknown. */
  upperBoundMs(kind: WorkKind): number | undefined {
    const times = this.timesByKind.get(makeKey(kind));
    if (!times || times.sampleCount < MIN_SAMPLE_COUNT) return undefined;
    return times.meanMs + times.deviationMs * DEVIATION_COUNT;
  }
}

function makeKey({service, priority, isTransaction}: WorkKind): string {
  return `${service} ${priority} ${isTransaction}`;
}

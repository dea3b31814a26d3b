import {build, type Histogram} from 'hdr-histogram-js';
import type {CallerName, ClassName, ServiceName} from '../../base/common/ids';
import type {RouteReason} from '../../services/routing/common/route_read';

/** Parts of a request's time. */
export type Phase = 'queue' | 'target' | 'whole';

export const PHASES: readonly Phase[] = ['queue', 'target', 'whole'];

/** Where a request was served, or why it was not. */
export type RequestOutcome = RouteReason | 'primary for a write' | 'not run';

/** Names one series: a caller's requests of a class to a service. */
export interface SeriesName {
  readonly service: ServiceName;
  readonly caller: CallerName;
  readonly requestClass: ClassName;
}

/** The histograms of one series, in microseconds. */
export interface Series {
  readonly name: SeriesName;
  readonly histograms: Readonly<Record<Phase, Histogram>>;
}

/** More series than this share one, so that memory stays bounded. */
const MOST_SERIES = 2_000;
const MOST_MICROSECONDS = 3_600_000_000;

/** Counts and times requests for each caller, class and service. */
export class RequestMeter {
  private readonly series = new Map<string, Series>();
  private readonly outcomes = new Map<string, number>();

  count(outcome: RequestOutcome): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
  }

  all(): readonly Series[] {
    return [...this.series.values()];
  }

  counts(): ReadonlyMap<string, number> {
    return this.outcomes;
  }

  /** The series of a name; whoever records often keeps it. */
  seriesOf(name: SeriesName): Series {
    const {service, caller, requestClass} = name;
    const key = `${service}\0${caller}\0${requestClass}`;
    const known = this.series.get(key);
    if (known) return known;
    const isFull = this.series.size >= MOST_SERIES;
    if (isFull && caller !== OTHER_CALLERS) {
      return this.seriesOf({...name, caller: OTHER_CALLERS});
    }
    const series: Series = {
      name: {service, caller, requestClass},
      histograms: {
        queue: newHistogram(),
        target: newHistogram(),
        whole: newHistogram(),
      },
    };
    this.series.set(key, series);
    return series;
  }
}

/** Records the times of one session, whose class may change. */
export class SessionMeter {
  private series: Series | undefined;

  constructor(
    private readonly meter: RequestMeter,
    private readonly service: ServiceName,
    private readonly caller: CallerName,
  ) {}

  /** Notes the time that a part of a request took, in milliseconds. */
  record(requestClass: ClassName, phase: Phase, milliseconds: number): void {
    const micros = Math.max(0, Math.round(milliseconds * 1_000));
    const value = Math.min(micros, MOST_MICROSECONDS);
    this.seriesOf(requestClass).histograms[phase].recordValue(value);
  }

  count(outcome: RequestOutcome): void {
    this.meter.count(outcome);
  }

  private seriesOf(requestClass: ClassName): Series {
    if (this.series?.name.requestClass === requestClass) return this.series;
    const {service, caller} = this;
    this.series = this.meter.seriesOf({service, caller, requestClass});
    return this.series;
  }
}

const OTHER_CALLERS = 'other callers' as CallerName;

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MOST_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
    autoResize: true,
  });
}

import {build, type Histogram} from 'hdr-histogram-js';
import type {CallerName, ClassName, ServiceName} from '../../base/common/ids';
import type {RouteReason} from '../../services/routing/common/route_read';

/** The measured part of a request: queueing, work on a target, or all. */
export type Phase = 'queue' | 'target' | 'whole';

export const PHASES: readonly Phase[] = ['queue', 'target', 'whole'];

/** How a request was routed, or that it was refused. */
export type RequestOutcome = RouteReason | 'primary for a write' | 'not run';

/** Labels of one series: requests of a caller and class to a service. */
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

/** Further callers share one series per service and class. */
const MAX_SERIES_COUNT = 2_000;
const MAX_MICROSECONDS = 3_600_000_000;

/** Request counts by outcome, and durations by service, caller and class. */
export class RequestMeter {
  private readonly seriesByKey = new Map<string, Series>();
  private readonly outcomeCounts = new Map<string, number>();

  count(outcome: RequestOutcome): void {
    this.outcomeCounts.set(outcome, (this.outcomeCounts.get(outcome) ?? 0) + 1);
  }

  allSeries(): readonly Series[] {
    return [...this.seriesByKey.values()];
  }

  countsByOutcome(): ReadonlyMap<string, number> {
    return this.outcomeCounts;
  }

  /** The series with these labels, created on first use. */
  seriesOf(name: SeriesName): Series {
    const {service, caller, requestClass} = name;
    const key = `${service}\0${caller}\0${requestClass}`;
    const existing = this.seriesByKey.get(key);
    if (existing) return existing;
    const isFull = this.seriesByKey.size >= MAX_SERIES_COUNT;
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
    this.seriesByKey.set(key, series);
    return series;
  }
}

/** Records the requests of one session, whose class may change. */
export class SessionMeter {
  private series: Series | undefined;

  constructor(
    private readonly meter: RequestMeter,
    private readonly service: ServiceName,
    private readonly caller: CallerName,
  ) {}

  record(requestClass: ClassName, phase: Phase, milliseconds: number): void {
    const microseconds = Math.max(0, Math.round(milliseconds * 1_000));
    const value = Math.min(microseconds, MAX_MICROSECONDS);
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
    highestTrackableValue: MAX_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
    autoResize: true,
  });
}

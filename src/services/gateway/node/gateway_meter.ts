import type {Histogram} from 'hdr-histogram-js';
import {formatLabels} from '../../../base/common/metric_labels';
// The builder alone: the package's index also loads readers and writers of
// logs, which slow the start of the process.
import {build} from 'hdr-histogram-js/dist/HistogramBuilder';

/** Phases of a request's latency. */
export type GatewayPhase = 'queue' | 'whole';

const PHASES: readonly GatewayPhase[] = ['queue', 'whole'];
/** Further routes share one series, to bound memory. */
const MAX_ROUTES = 64;
const OTHER_ROUTES = 'other';
const MAX_ACCOUNTS = 256;
const OTHER_ACCOUNTS = 'other';
const MAX_CLASSES = 256;
const OTHER_CLASSES = 'service="other",priority=""';
const MAX_LATENCY_US = 60_000_000;
const QUANTILES = [0.5, 0.9, 0.99];

/** Counters and latency histograms of requests, for each route. */
export class GatewayMeter {
  private readonly histograms = new Map<string, Histogram>();
  private readonly counts = new Map<string, number>();
  private readonly routes = new Set<string>();
  private readonly accounts = new Set<string>();
  private readonly answers = new Map<string, number>();
  private readonly refusals = new Map<string, number>();
  private readonly repeatedRuns = new Map<string, number>();
  private readonly classes = new Set<string>();
  private readonly queued = new Map<string, number>();
  private readonly checkouts = new Map<string, number>();

  recordLatency(
    route: string,
    phase: GatewayPhase,
    milliseconds: number,
  ): void {
    const micros = Math.round(milliseconds * 1_000);
    const value = Math.min(Math.max(0, micros), MAX_LATENCY_US);
    this.histogramOf(this.routeLabelOf(route), phase).recordValue(value);
  }

  count(route: string, outcome: string): void {
    const labels = {route: this.routeLabelOf(route), outcome};
    increase(this.counts, formatLabels(labels));
  }

  countAnswer(account: string): void {
    const name = this.accountLabelOf(account);
    increase(this.answers, formatLabels({account: name}));
  }

  /** Counts a request of a client account that was refused and did not run. */
  countRefusal(account: string, reason: string): void {
    const name = this.accountLabelOf(account);
    increase(this.refusals, formatLabels({account: name, reason}));
  }

  /** Counts a statement sent again after a member may have run it. */
  countRepeatedRun(account: string): void {
    const name = this.accountLabelOf(account);
    increase(this.repeatedRuns, formatLabels({account: name}));
  }

  /** Changes the number of queued requests of a service and priority. */
  addQueued(service: string, priority: number, change: number): void {
    increase(this.queued, this.classLabelsOf(service, priority), change);
  }

  /** Counts a request that got a connection or was refused one. */
  countCheckout(
    service: string,
    priority: number,
    outcome: 'served' | 'refused',
  ): void {
    const labels = this.classLabelsOf(service, priority);
    increase(this.checkouts, `${labels},${formatLabels({outcome})}`);
  }

  /** Renders all series in the Prometheus text format. */
  render(): string {
    const lines = [
      ...renderCounter('bulrushstage_requests_total', this.counts),
      ...renderCounter('bulrushstage_account_answers_total', this.answers),
      ...renderCounter('bulrushstage_account_refusals_total', this.refusals),
      ...renderCounter(
        'bulrushstage_account_repeated_runs_total',
        this.repeatedRuns,
      ),
      ...renderCounter('bulrushstage_places_total', this.checkouts),
      ...renderGauge('bulrushstage_places_waiting', this.queued),
    ];
    lines.push('# TYPE bulrushstage_request_seconds summary');
    for (const route of this.routes) {
      for (const phase of PHASES) lines.push(...this.summarize(route, phase));
    }
    return `${lines.join('\n')}\n`;
  }

  private summarize(route: string, phase: GatewayPhase): string[] {
    const histogram = this.histograms.get(`${route} ${phase}`);
    if (!histogram) return [];
    const labels = formatLabels({route, part: phase});
    const name = 'bulrushstage_request_seconds';
    const values = QUANTILES.map(quantile => {
      const seconds = histogram.getValueAtPercentile(quantile * 100) / 1e6;
      return `${name}{${labels},quantile="${quantile}"} ${seconds}`;
    });
    return [...values, `${name}_count{${labels}} ${histogram.totalCount}`];
  }

  private accountLabelOf(account: string): string {
    if (this.accounts.has(account)) return account;
    if (this.accounts.size >= MAX_ACCOUNTS) return OTHER_ACCOUNTS;
    this.accounts.add(account);
    return account;
  }

  private classLabelsOf(service: string, priority: number): string {
    const labels = formatLabels({service, priority});
    if (this.classes.has(labels)) return labels;
    if (this.classes.size >= MAX_CLASSES) return OTHER_CLASSES;
    this.classes.add(labels);
    return labels;
  }

  private routeLabelOf(route: string): string {
    if (this.routes.has(route)) return route;
    const name = this.routes.size >= MAX_ROUTES ? OTHER_ROUTES : route;
    this.routes.add(name);
    return name;
  }

  private histogramOf(route: string, phase: GatewayPhase): Histogram {
    const key = `${route} ${phase}`;
    const known = this.histograms.get(key);
    if (known) return known;
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_LATENCY_US,
      numberOfSignificantValueDigits: 2,
      bitBucketSize: 32,
      autoResize: true,
    });
    this.histograms.set(key, histogram);
    return histogram;
  }
}

function increase(
  counts: Map<string, number>,
  labels: string,
  change = 1,
): void {
  counts.set(labels, (counts.get(labels) ?? 0) + change);
}

function renderCounter(
  name: string,
  counts: ReadonlyMap<string, number>,
): string[] {
  return [`# TYPE ${name} counter`, ...renderValues(name, counts)];
}

function renderGauge(
  name: string,
  values: ReadonlyMap<string, number>,
): string[] {
  return [`# TYPE ${name} gauge`, ...renderValues(name, values)];
}

function renderValues(
  name: string,
  values: ReadonlyMap<string, number>,
): string[] {
  return [...values].map(([labels, value]) => `${name}{${labels}} ${value}`);
}

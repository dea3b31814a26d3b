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
const MAX_ACCOUNTS = 256;
/** The name that further routes, or accounts, are counted under. */
const OTHER = 'other';
const MAX_CLASSES = 256;
const OTHER_CLASSES = 'service="other",priority=""';
const MAX_LATENCY_US = 60_000_000;
const QUANTILES = [0.5, 0.9, 0.99];

/** Labels of names, of which those beyond a limit share one. */
class BoundedLabels {
  private readonly labelByName = new Map<string, string>();

  constructor(
    private readonly label: string,
    private readonly max: number,
  ) {}

  get all(): Iterable<string> {
    return this.labelByName.values();
  }

  of(name: string): string {
    const known = this.labelByName.get(name);
    if (known !== undefined) return known;
    const isBeyond = this.labelByName.size >= this.max;
    const counted = isBeyond ? OTHER : name;
    const formatted = formatLabels({[this.label]: counted});
    this.labelByName.set(counted, formatted);
    return formatted;
  }
}

/** Counters and latency histograms of requests, for each route. */
export class GatewayMeter {
  private readonly histograms = new Map<string, Histogram>();
  private readonly counts = new Map<string, number>();
  private readonly routes = new BoundedLabels('route', MAX_ROUTES);
  private readonly accounts = new BoundedLabels('account', MAX_ACCOUNTS);
  private readonly answers = new Map<string, number>();
  private readonly refusals = new Map<string, number>();
  private readonly repeatedRuns = new Map<string, number>();
  /** Labels by service and priority. */
  private readonly classes = new Map<string, string>();
  private readonly queued = new Map<string, number>();
  private readonly checkouts = new Map<string, number>();

  recordLatency(
    route: string,
    phase: GatewayPhase,
    milliseconds: number,
  ): void {
    const micros = Math.round(milliseconds * 1_000);
    const value = Math.min(Math.max(0, micros), MAX_LATENCY_US);
    this.histogramOf(this.routes.of(route), phase).recordValue(value);
  }

  count(route: string, outcome: string): void {
    const key = `${this.routes.of(route)},outcome="${outcome}"`;
    increase(this.counts, key);
  }

  countAnswer(account: string): void {
    increase(this.answers, this.accounts.of(account));
  }

  /** Counts a request of a client account that was refused and did not run. */
  countRefusal(account: string, reason: string): void {
    const label = this.accounts.of(account);
    increase(this.refusals, `${label},reason="${reason}"`);
  }

  /** Counts a statement sent again after a member may have run it. */
  countRepeatedRun(account: string): void {
    increase(this.repeatedRuns, this.accounts.of(account));
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
    increase(this.checkouts, `${labels},outcome="${outcome}"`);
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
    for (const route of this.routes.all) {
      for (const phase of PHASES) lines.push(...this.summarize(route, phase));
    }
    return `${lines.join('\n')}\n`;
  }

  private summarize(route: string, phase: GatewayPhase): string[] {
    const histogram = this.histograms.get(`${route} ${phase}`);
    if (!histogram) return [];
    const labels = `${route},part="${phase}"`;
    const name = 'bulrushstage_request_seconds';
    const values = QUANTILES.map(quantile => {
      const seconds = histogram.getValueAtPercentile(quantile * 100) / 1e6;
      return `${name}{${labels},quantile="${quantile}"} ${seconds}`;
    });
    return [...values, `${name}_count{${labels}} ${histogram.totalCount}`];
  }

  private classLabelsOf(service: string, priority: number): string {
    const key = `${service} ${priority}`;
    const known = this.classes.get(key);
    if (known !== undefined) return known;
    if (this.classes.size >= MAX_CLASSES) return OTHER_CLASSES;
    const labels = formatLabels({service, priority});
    this.classes.set(key, labels);
    return labels;
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

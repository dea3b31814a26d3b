import type {Histogram} from 'hdr-histogram-js';
// The builder alone: readers and writers of logs, which the package's index
// loads, format numbers for locales and cost a start 8 of its 50 ms.
import {build} from 'hdr-histogram-js/dist/HistogramBuilder';

/** Parts of a request's time. */
export type GatewayPhase = 'queue' | 'whole';

const PHASES: readonly GatewayPhase[] = ['queue', 'whole'];
/** More routes than this share one series, so that memory stays bounded. */
const MOST_SERIES = 64;
const OTHER_ROUTES = 'other';
/** The same for accounts, which have counters only. */
const MOST_ACCOUNTS = 256;
const OTHER_ACCOUNTS = 'other';
/** The same for services with their priorities. */
const MOST_CLASSES = 256;
const OTHER_CLASSES = 'service="other",priority=""';
const MOST_MICROSECONDS = 60_000_000;
const QUANTILES = [0.5, 0.9, 0.99];

/** Counters and latency histograms of requests, for each route. */
export class GatewayMeter {
  private readonly histograms = new Map<string, Histogram>();
  private readonly counts = new Map<string, number>();
  private readonly routes = new Set<string>();
  private readonly accounts = new Set<string>();
  private readonly answers = new Map<string, number>();
  private readonly refusals = new Map<string, number>();
  private readonly classes = new Set<string>();
  private readonly waiting = new Map<string, number>();
  private readonly places = new Map<string, number>();

  /** Notes the time that a part of a request took, in milliseconds. */
  recordLatency(
    route: string,
    phase: GatewayPhase,
    milliseconds: number,
  ): void {
    const micros = Math.round(milliseconds * 1_000);
    const value = Math.min(Math.max(0, micros), MOST_MICROSECONDS);
    this.histogram(this.seriesOf(route), phase).recordValue(value);
  }

  count(route: string, outcome: string): void {
    const key = `route="${this.seriesOf(route)}",outcome="${outcome}"`;
    increase(this.counts, key);
  }

  /** Counts an answer to a client account. */
  countAnswer(account: string): void {
    increase(this.answers, `account="${this.accountOf(account)}"`);
  }

  /** Counts a refusal of a client account's request, which did not run. */
  countRefusal(account: string, reason: string): void {
    const name = this.accountOf(account);
    increase(this.refusals, `account="${name}",reason="${reason}"`);
  }

  /** Counts requests of a class in and out that wait for places. */
  addQueued(service: string, priority: number, change: number): void {
    increase(this.waiting, this.classOf(service, priority), change);
  }

  /** Counts what became of requests of a class that asked for a place. */
  countCheckout(
    service: string,
    priority: number,
    outcome: 'served' | 'refused',
  ): void {
    const labels = this.classOf(service, priority);
    increase(this.places, `${labels},outcome="${outcome}"`);
  }

  /** The series as text, in the usual format. */
  render(): string {
    const lines = [
      ...renderCounter('bulrushstage_requests_total', this.counts),
      ...renderCounter('bulrushstage_account_answers_total', this.answers),
      ...renderCounter('bulrushstage_account_refusals_total', this.refusals),
      ...renderCounter('bulrushstage_places_total', this.places),
      ...renderGauge('bulrushstage_places_waiting', this.waiting),
    ];
    lines.push('# TYPE bulrushstage_request_seconds summary');
    for (const route of this.routes) {
      for (const phase of PHASES) lines.push(...this.summary(route, phase));
    }
    return `${lines.join('\n')}\n`;
  }

  private summary(route: string, phase: GatewayPhase): string[] {
    const histogram = this.histograms.get(`${route} ${phase}`);
    if (!histogram) return [];
    const labels = `route="${route}",part="${phase}"`;
    const name = 'bulrushstage_request_seconds';
    const values = QUANTILES.map(quantile => {
      const seconds = histogram.getValueAtPercentile(quantile * 100) / 1e6;
      return `${name}{${labels},quantile="${quantile}"} ${seconds}`;
    });
    return [...values, `${name}_count{${labels}} ${histogram.totalCount}`];
  }

  private accountOf(account: string): string {
    if (this.accounts.has(account)) return account;
    if (this.accounts.size >= MOST_ACCOUNTS) return OTHER_ACCOUNTS;
    this.accounts.add(account);
    return account;
  }

  private classOf(service: string, priority: number): string {
    const labels = `service="${service}",priority="${priority}"`;
    if (this.classes.has(labels)) return labels;
    if (this.classes.size >= MOST_CLASSES) return OTHER_CLASSES;
    this.classes.add(labels);
    return labels;
  }

  private seriesOf(route: string): string {
    if (this.routes.has(route)) return route;
    const name = this.routes.size >= MOST_SERIES ? OTHER_ROUTES : route;
    this.routes.add(name);
    return name;
  }

  private histogram(route: string, phase: GatewayPhase): Histogram {
    const key = `${route} ${phase}`;
    const known = this.histograms.get(key);
    if (known) return known;
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MOST_MICROSECONDS,
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

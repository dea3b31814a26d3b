import {createServer, type ServerResponse} from 'node:http';
import {encodeIntoCompressedBase64} from 'hdr-histogram-js';
import {formatLabels} from '../../base/common/metric_labels';
import {err, ok, type Result} from '../../base/common/result';
import type {ProxyServices} from './proxy_services';
import {PHASES, type RequestMeter, type Series} from './request_meter';

const QUANTILES = [50, 90, 99, 99.9];

/** What the endpoint reports. */
export interface StatusDependencies {
  readonly instance: string;
  readonly site: string;
  readonly services: ProxyServices;
  readonly meter: RequestMeter;
  settingsVersion(): number;
  isAttached(): boolean;
  sessions(): number;
}

/** Serves Prometheus metrics, histograms and the status as JSON over HTTP. */
export class StatusEndpoint {
  private readonly pages = new Map<string, (response: ServerResponse) => void>([
    ['/metrics', response => this.metrics(response)],
    ['/histograms', response => sendJson(response, this.histograms())],
    ['/status', response => sendJson(response, this.status())],
  ]);

  constructor(private readonly dependencies: StatusDependencies) {}

  listen(
    port: number,
    host: string,
    signal: AbortSignal,
  ): Promise<Result<void, Error>> {
    const server = createServer((request, response) => {
      const page = this.pages.get(request.url ?? '');
      if (page) return page(response);
      response.statusCode = 404;
      response.end('not found\n');
    });
    signal.addEventListener('abort', () => {
      server.close();
      server.closeAllConnections();
    });
    return new Promise(resolve => {
      server.once('error', error => resolve(err(error)));
      server.listen(port, host, () => resolve(ok(undefined)));
    });
  }

  private status() {
    const {instance, site, services, sessions} = this.dependencies;
    return {
      instance,
      site,
      settingsVersion: this.dependencies.settingsVersion(),
      attached: this.dependencies.isAttached(),
      sessions: sessions(),
      outcomes: Object.fromEntries(this.dependencies.meter.countsByOutcome()),
      services: [...services.all()].map(([name, {router}]) => ({
        name,
        term: router.serviceRecord?.term ?? 0,
        primary: router.serviceRecord?.primary ?? '',
        queued: router.queuedCount,
      })),
    };
  }

  private histograms() {
    return this.dependencies.meter.allSeries().flatMap(({name, histograms}) => {
      return PHASES.map(phase => ({
        ...name,
        phase,
        histogram: encodeIntoCompressedBase64(histograms[phase]),
      }));
    });
  }

  private metrics(response: ServerResponse): void {
    const {meter, sessions, services} = this.dependencies;
    const lines = [
      '# TYPE bulrushstage_sessions gauge',
      `bulrushstage_sessions ${sessions()}`,
      '# TYPE bulrushstage_settings_version gauge',
      `bulrushstage_settings_version ${this.dependencies.settingsVersion()}`,
      '# TYPE bulrushstage_control_attached gauge',
      `bulrushstage_control_attached ${Number(this.dependencies.isAttached())}`,
      '# TYPE bulrushstage_service_term gauge',
      ...[...services.all()].map(([service, {router}]) => {
        const term = router.serviceRecord?.term ?? 0;
        return `bulrushstage_service_term{${label('service', service)}} ${term}`;
      }),
      '# TYPE bulrushstage_requests_total counter',
      ...[...meter.countsByOutcome()].map(([outcome, count]) => {
        return `bulrushstage_requests_total{${label('outcome', outcome)}} ${count}`;
      }),
      '# TYPE bulrushstage_request_seconds summary',
      ...meter.allSeries().flatMap(seriesLines),
    ];
    response.setHeader('content-type', 'text/plain; version=0.0.4');
    response.end(`${lines.join('\n')}\n`);
  }
}

function seriesLines({name, histograms}: Series): string[] {
  return PHASES.flatMap(phase => {
    const histogram = histograms[phase];
    const labels = [
      label('service', name.service),
      label('caller', name.caller),
      label('class', name.requestClass),
      label('phase', phase),
    ].join(',');
    const quantiles = QUANTILES.map(percent => {
      const seconds = histogram.getValueAtPercentile(percent) / 1e6;
      const quantile = label('quantile', String(percent / 100));
      return `bulrushstage_request_seconds{${labels},${quantile}} ${seconds}`;
    });
    const count = `bulrushstage_request_seconds_count{${labels}} ${histogram.totalCount}`;
    return [...quantiles, count];
  });
}

function label(name: string, value: string): string {
  return formatLabels({[name]: value});
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.setHeader('content-type', 'application/json');
  response.end(`${JSON.stringify(value)}\n`);
}

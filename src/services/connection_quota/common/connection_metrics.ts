import {formatLabels} from '../../../base/common/metric_labels';
import type {ConnectionAllocator} from './connection_allocator';
import type {MemberConnectionsView} from './connection_quota';

/** Renders the connections of a proxy to members. */
export function renderConnectionUse(
  views: readonly MemberConnectionsView[],
): string {
  const gauges = [
    ['held', (view: MemberConnectionsView) => view.open],
    ['wanted', (view: MemberConnectionsView) => view.wanted],
    ['granted', (view: MemberConnectionsView) => view.granted],
  ] as const;
  return gauges
    .map(([name, valueOf]) => {
      const lines = views.map(view => `${labels(view)} ${valueOf(view)}`);
      return renderGauge(`member_connections_${name}`, lines);
    })
    .join('');
}

/** Renders the connections that all poolers together may have open. */
export function renderChargedConnections({
  charges,
}: ConnectionAllocator): string {
  const lines = charges.map(charge => `${labels(charge)} ${charge.charged}`);
  return renderGauge('member_connections_charged', lines);
}

function labels({service, instance}: {service: string; instance: string}) {
  return `{${formatLabels({service, member: instance})}}`;
}

function renderGauge(name: string, lines: readonly string[]): string {
  const full = `bulrushstage_${name}`;
  const values = lines.map(line => `${full}${line}`);
  return [`# TYPE ${full} gauge`, ...values, ''].join('\n');
}

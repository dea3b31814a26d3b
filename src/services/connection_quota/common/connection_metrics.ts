import type {MemberConnectionsView} from '../../connection_quota/common/connection_quota';
import type {ConnectionAllocator} from '../../connection_quota/common/connection_allocator';

/** What a proxy has, wants and may have of members, for its metrics. */
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

/** What is open or may be opened by all poolers, for control's metrics. */
export function renderChargedConnections({
  charges,
}: ConnectionAllocator): string {
  const lines = charges.map(charge => `${labels(charge)} ${charge.charged}`);
  return renderGauge('member_connections_charged', lines);
}

function labels({service, instance}: {service: string; instance: string}) {
  return `{service="${service}",member="${instance}"}`;
}

function renderGauge(name: string, lines: readonly string[]): string {
  const full = `bulrushstage_${name}`;
  const values = lines.map(line => `${full}${line}`);
  return [`# TYPE ${full} gauge`, ...values, ''].join('\n');
}

import type {MemberRoomView} from './connection_room';
import type {RoomAllocator} from './room_allocator';

/** What a proxy has, wants and may have of members, for its metrics. */
export function renderRoom(views: readonly MemberRoomView[]): string {
  const gauges = [
    ['held', (view: MemberRoomView) => view.open],
    ['wanted', (view: MemberRoomView) => view.wanted],
    ['granted', (view: MemberRoomView) => view.granted],
  ] as const;
  return gauges
    .map(([name, valueOf]) => {
      const lines = views.map(view => `${labels(view)} ${valueOf(view)}`);
      return renderGauge(`member_connections_${name}`, lines);
    })
    .join('');
}

/** What is open or may be opened by all poolers, for control's metrics. */
export function renderCharges({charges}: RoomAllocator): string {
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

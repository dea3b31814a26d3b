import {describe, expect, it} from 'vitest';
import {GatewayMeter} from '../../node/gateway_meter';

const lineOf = (meter: GatewayMeter, start: string) => {
  return meter
    .render()
    .split('\n')
    .filter(line => line.startsWith(start));
};

describe('the metrics of places', () => {
  it('tell who waits, is served and refused, by service and priority', () => {
    const meter = new GatewayMeter();
    for (let count = 0; count < 3; count++) meter.addQueued('books', 0, 1);
    meter.addQueued('books', 0, -1);
    meter.countCheckout('books', 0, 'served');
    meter.countCheckout('books', 2, 'refused');
    expect(lineOf(meter, 'bulrushstage_places')).toEqual([
      'bulrushstage_places_total{service="books",priority="0",outcome="served"} 1',
      'bulrushstage_places_total{service="books",priority="2",outcome="refused"} 1',
      'bulrushstage_places_waiting{service="books",priority="0"} 2',
    ]);
  });

  it('stay bounded', () => {
    const meter = new GatewayMeter();
    for (let at = 0; at < 2_000; at++) meter.addQueued(`s${at}`, 0, 1);
    const lines = lineOf(meter, 'bulrushstage_places_waiting');
    expect(lines.length).toBeLessThanOrEqual(257);
  });
});

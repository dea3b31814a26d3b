import {describe, expect, it} from 'vitest';
import {GatewayMeter} from '../../node/gateway_meter';

const linesOf = (meter: GatewayMeter, start: string) => {
  return meter
    .render()
    .split('\n')
    .filter(line => line.startsWith(start));
};

describe('checkout metrics', () => {
  it('count queued, served and refused requests by class', () => {
    const meter = new GatewayMeter();
    for (let count = 0; count < 3; count++) meter.addQueued('books', 0, 1);
    meter.addQueued('books', 0, -1);
    meter.countCheckout('books', 0, 'served');
    meter.countCheckout('books', 2, 'refused');
    expect(linesOf(meter, 'bulrushstage_places')).toEqual([
      'bulrushstage_places_total{service="books",priority="0",outcome="served"} 1',
      'bulrushstage_places_total{service="books",priority="2",outcome="refused"} 1',
      'bulrushstage_places_waiting{service="books",priority="0"} 2',
    ]);
  });

  it('have a bounded number of series', () => {
    const meter = new GatewayMeter();
    for (let at = 0; at < 2_000; at++) meter.addQueued(`s${at}`, 0, 1);
    const lines = linesOf(meter, 'bulrushstage_places_waiting');
    expect(lines.length).toBeLessThanOrEqual(257);
  });
});

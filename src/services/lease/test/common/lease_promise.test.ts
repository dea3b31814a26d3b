import {expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {LeaseSimulation} from './lease_simulation';

const SCHEDULES = 60;
const STEPS = 3_000;

it('never leaves a lease on a lead that was replaced', () => {
  // A dock shows a boat that was booked elsewhere, or a booking that was
  // confirmed is gone: some proxy still relied on the old primary when the
  // next one was ordered to lead. Proxies freeze, follow old leaders and none,
  // messages are late and streams end, and control's leader changes at any moment.
  let orders = 0;
  let held = 0;
  for (let seed = 1; seed <= SCHEDULES; seed++) {
    const world = new LeaseSimulation(new SeededRandom(seed));
    for (let step = 0; step < STEPS; step++) world.step();
    expect(world.faults, `seed ${seed}`).toEqual([]);
    orders += world.orders;
    held += world.held;
  }
  expect(orders).toBeGreaterThan(SCHEDULES * 5);
  expect(held).toBeGreaterThan(SCHEDULES * STEPS * 0.1);
});

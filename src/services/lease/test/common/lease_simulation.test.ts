import {expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {LeaseSimulation} from './lease_simulation';

const SEED_COUNT = 60;
const STEP_COUNT = 3_000;

it('never leaves a lease on a replaced primary', () => {
  // Guards against stale reads of an old primary. Proxies are suspended, follow
  // old leaders or none, messages are late, streams end and leaders change.
  let promotionCount = 0;
  let held = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const simulation = new LeaseSimulation(new SeededRandom(seed));
    for (let step = 0; step < STEP_COUNT; step++) simulation.step();
    expect(simulation.violations, `seed ${seed}`).toEqual([]);
    promotionCount += simulation.promotionCount;
    held += simulation.heldCount;
  }
  expect(promotionCount).toBeGreaterThan(SEED_COUNT * 5);
  expect(held).toBeGreaterThan(SEED_COUNT * STEP_COUNT * 0.1);
});

import {describe, expect, it} from 'vitest';
import {Phase} from '../../../../schema/generated/control';
import {runFaults, recover} from './simulation_runs';

const SEED_COUNT = 120;

describe('changes of primary under random faults', () => {
  // Guards against lost acknowledged writes, acknowledged writes of an old
  // primary, and writes that are reported as "not run" but were done.
  it('never loses an acknowledged write nor acknowledges an old one', () => {
    let changes = 0;
    let acknowledged = 0;
    let notRun = 0;
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const simulation = runFaults(seed);
      expect(simulation.violations, `seed ${seed}`).toEqual([]);
      changes += simulation.changeCount;
      acknowledged += simulation.acknowledged.size;
      notRun += simulation.notRun.size;
    }
    expect(changes).toBeGreaterThan(SEED_COUNT);
    expect(acknowledged).toBeGreaterThan(SEED_COUNT * 10);
    expect(notRun).toBeGreaterThan(0);
  });

  // Guards against a service that stays without a primary after all faults.
  it('has a primary and acknowledges writes after all faults ended', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const simulation = runFaults(seed);
      recover(simulation);
      const before = simulation.acknowledged.size;
      simulation.write(simulation.proxies[0]!);
      recover(simulation);
      expect(simulation.record.phase, `seed ${seed}`).toBe(Phase.PHASE_STEADY);
      expect(simulation.acknowledged.size, `seed ${seed}`).toBeGreaterThan(
        before,
      );
      expect(simulation.violations, `seed ${seed}`).toEqual([]);
    }
  });
});

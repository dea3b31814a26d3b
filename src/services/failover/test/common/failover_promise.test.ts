import {describe, expect, it} from 'vitest';
import {Phase} from '../../../../schema/generated/control';
import {play, recover} from './schedule';

const SCHEDULES = 120;

describe('changes of primary under random faults', () => {
  // A caller is told that its lodgement is in and later nobody finds it; or an
  // old primary's write is acknowledged after another one leads; or a write is
  // called "not run" and is there. Members, proxies and control are cut off,
  // die, lose data and return in any order; the cause would be a lease that
  // outlives its term, or a promotion that misses an acknowledged write.
  it('never loses an acknowledged write nor acknowledges an old one', () => {
    let changes = 0;
    let acknowledged = 0;
    let notRun = 0;
    for (let seed = 1; seed <= SCHEDULES; seed++) {
      const world = play(seed);
      expect(world.faults, `seed ${seed}`).toEqual([]);
      changes += world.changes;
      acknowledged += world.acknowledged.size;
      notRun += world.notRun.size;
    }
    expect(changes).toBeGreaterThan(SCHEDULES);
    expect(acknowledged).toBeGreaterThan(SCHEDULES * 10);
    expect(notRun).toBeGreaterThan(0);
  });

  // After the last fault callers still cannot write, and nobody was told why.
  it('has a primary and acknowledges writes again once all are back', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const world = play(seed);
      recover(world);
      const before = world.acknowledged.size;
      world.write(world.proxies[0]!);
      recover(world);
      expect(world.record.phase, `seed ${seed}`).toBe(Phase.PHASE_STEADY);
      expect(world.acknowledged.size, `seed ${seed}`).toBeGreaterThan(before);
      expect(world.faults, `seed ${seed}`).toEqual([]);
    }
  });
});

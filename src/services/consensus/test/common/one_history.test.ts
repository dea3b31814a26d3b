import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {ConsensusSimulation} from './consensus_simulation';
import {RandomSchedule} from './random_schedule';

/** A range of other seeds: CONSENSUS_SEEDS=100-199 npx vitest run one_history */
const SEEDS = process.env['CONSENSUS_SEEDS'] ?? '1-60';

const PERIOD_COUNT = 50;

function runSchedule(seed: number): ConsensusSimulation {
  const random = new SeededRandom(seed);
  const group = new ConsensusSimulation(random.pick([1, 3, 5]), random);
  group.addEmpty();
  group.addEmpty();
  const schedule = new RandomSchedule(group, random);
  for (let period = 0; period < PERIOD_COUNT; period++) schedule.runPeriod();
  return group;
}

describe('consensus under random faults and changes of voters', () => {
  // Guards against two leaders that are confirmed at a time, and against
  // committed proposals that are replaced or whose indices do not rise.
  it('has one history that confirmations and indices respect', () => {
    const [first, last] = SEEDS.split('-').map(Number);
    let terms = 0;
    let confirmed = 0;
    let committed = 0;
    for (let seed = first!; seed <= last!; seed++) {
      const {history} = runSchedule(seed);
      expect([seed, ...history.violations]).toEqual([seed]);
      terms += history.leaderCount;
      confirmed += history.outcomeCounts.confirmed;
      committed += history.outcomeCounts.committed;
    }
    const seedCount = last! - first! + 1;
    expect(terms).toBeGreaterThan(seedCount * 10);
    expect(confirmed).toBeGreaterThan(seedCount * 100);
    expect(committed).toBeGreaterThan(seedCount * 100);
  });
});

import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {ControlGroup} from './control_group';

const SEED_COUNT = 8;
const SPLIT_COUNT = 6;
const MAX_WAIT_MS = 6_000;
const RECOVERY_MS = 30_000;

/**
 * Splits a group in halves whenever one of its voters is being replaced, while
 * messages are lost and reordered and every few entries end in a snapshot.
 */
function runSplits(seed: number, voterCount: number): ControlGroup {
  const random = new SeededRandom(seed);
  const names = ['a', 'b', 'c', 'd', 'e'].slice(0, voterCount);
  const group = new ControlGroup(names, voterCount, seed, {
    lossRate: random.pick([0, 0.05, 0.2]),
    maxDelayMs: random.pick([0, 60, 250]),
    entriesPerSnapshot: random.pick([1, 3, 10]),
    replaceSilentAfterMs: 1_000,
  });
  group.add('standby');
  for (let count = 0; count < SPLIT_COUNT; count++) {
    group.run(MAX_WAIT_MS);
    const replaced = random.pick(group.addresses);
    const downMs = random.integer(1_500, 3_000);
    if (random.integer(0, 1) === 0) group.kill(replaced, downMs);
    else group.cut(replaced, downMs);
    group.runUntil(() => group.isChanging, MAX_WAIT_MS);
    group.run(random.integer(0, 60));
    splitInHalves(group, random);
  }
  return group;
}

function splitInHalves(group: ControlGroup, random: SeededRandom): void {
  const half = new Set(
    group.addresses.filter(() => random.integer(0, 1) === 0),
  );
  const splitMs = random.integer(1_000, 4_000);
  group.split(address => half.has(address), splitMs);
  if (random.integer(0, 2) === 0) {
    group.kill(random.pick(group.addresses), random.integer(50, 1_000));
  }
  for (let count = 0; count < 4; count++) group.commitEntry(splitMs / 4);
}

describe('a control group that is split while a voter is replaced', () => {
  // Guards against a change that a majority of the new or of the old voters
  // decides alone: the other half of a split may decide otherwise.
  it.each([3, 5])('has one history with %i voters', voterCount => {
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const group = runSplits(seed, voterCount);
      expect([seed, group.commitEntry(RECOVERY_MS)]).not.toContain(undefined);
      expect([seed, ...group.violations]).toEqual([seed]);
    }
  });
});

import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {CATCH_UP_MS, ControlGroup} from './control_group';

const RECOVERY_MS = 12_000;
const SEED_COUNT = 5;
const FAULT_SEED_COUNT = 40;
const FAULT_COUNT = 25;

/** A moment at which a group was left without a leader, and how. */
interface Failure {
  readonly seed: number;
  readonly lostAt: number;
  readonly removed: string;
  readonly lost: string;
}

interface Schedule {
  /** From the loss of the first instance to the start of its successor. */
  readonly gapMs: number;
  /** From the start of the successor to the loss of a disk. */
  readonly lostAfterMs: number;
}

function startGroup(seed: number): ControlGroup {
  const group = new ControlGroup(['a', 'b', 'c'], 3, seed);
  group.run(2_000);
  return group;
}

/**
 * Replaces one instance for good, lets the successor join, then has another
 * instance lose its disk; returns whether an entry can be committed again.
 */
function survivesReplacementAndLoss(
  group: ControlGroup,
  removed: string,
  lost: 'leader' | 'follower',
  {gapMs, lostAfterMs}: Schedule,
): boolean {
  group.remove(removed);
  group.run(gapMs);
  group.add('d');
  group.run(lostAfterMs);
  const leader = group.commitEntry(RECOVERY_MS);
  if (leader === undefined) return false;
  const victim =
    lost === 'leader'
      ? leader
      : group.addresses.find(address => address !== leader && address !== 'd')!;
  group.wipe(victim, 1_000);
  group.run(1_000);
  return group.commitEntry(RECOVERY_MS) !== undefined;
}

function findFailures(gapMs: number, lost: 'leader' | 'follower'): Failure[] {
  const failures: Failure[] = [];
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    for (let lostAt = CATCH_UP_MS; lostAt <= 9_000; lostAt += 500) {
      for (const removed of ['a', 'b', 'c']) {
        const schedule = {gapMs, lostAfterMs: lostAt};
        const isAlive = survivesReplacementAndLoss(
          startGroup(seed),
          removed,
          lost,
          schedule,
        );
        if (!isAlive) failures.push({seed, lostAt, removed, lost});
      }
    }
  }
  return failures;
}

/** Moments at which a group was left without a leader for good. */
function findFatalMoments(
  moments: {readonly from: number; readonly to: number},
  survives: (group: ControlGroup, momentMs: number) => boolean,
): string[] {
  const fatal: string[] = [];
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    for (let momentMs = moments.from; momentMs <= moments.to; momentMs += 20) {
      const isAlive = survives(startGroup(seed), momentMs);
      if (!isAlive) fatal.push(`seed ${seed}, ${momentMs} ms`);
    }
  }
  return fatal;
}

/**
 * Runs random faults that overlap. A disk is lost only once all instances have
 * been up for the time that a successor has.
 */
function runFaults(seed: number): ControlGroup {
  const random = new SeededRandom(seed);
  const group = startGroup(seed);
  let calmAt = 0;
  const disturb = (downMs: number) => {
    calmAt = Math.max(calmAt, group.now + downMs + CATCH_UP_MS);
  };
  for (let step = 0; step < FAULT_COUNT; step++) {
    const address = random.pick(group.addresses);
    const downMs = random.integer(100, 2_000);
    const isCalm = group.now >= calmAt;
    switch (random.integer(0, isCalm ? 4 : 2)) {
      case 0:
        group.kill(address, downMs);
        break;
      case 1:
        group.cut(address, downMs);
        break;
      case 2:
        group.commitEntry(downMs);
        break;
      case 3:
        group.wipe(address, downMs);
        break;
      default:
        group.remove(address);
        group.after(downMs, () => group.add(`s${step}`));
    }
    disturb(downMs);
    group.run(random.integer(0, isCalm ? 3_000 : 6_000));
  }
  group.run(RECOVERY_MS);
  return group;
}

describe('a control group whose instances are replaced', () => {
  // Guards against a successor that stays a learner while the voter it replaces
  // still counts: the loss of another disk then leaves no majority for good.
  it.each(['leader', 'follower'] as const)(
    'keeps a majority when the %s loses its disk after a successor had its time',
    lost => {
      expect(findFailures(500, lost)).toEqual([]);
    },
  );

  // Guards against a voter that stops in good order and still counts, although
  // its successor had its time long before.
  it.each(['leader', 'follower'])(
    'keeps a majority when a disk is lost after a %s was stopped',
    role => {
      const survives = (group: ControlGroup, momentMs: number) => {
        const {leader} = group;
        const follower = leader === 'b' ? 'c' : 'b';
        const stopped = role === 'leader' ? leader! : follower;
        group.add('d');
        group.run(CATCH_UP_MS);
        group.leave(stopped);
        while (group.addresses.includes(stopped)) group.run(10);
        group.run(momentMs);
        const lost = group.leader ?? group.addresses[0]!;
        group.wipe(lost, 1_000);
        group.run(1_000);
        return group.commitEntry(RECOVERY_MS) !== undefined;
      };
      expect(findFatalMoments({from: 0, to: 1_500}, survives)).toEqual([]);
    },
  );

  // Guards against a change that needs the vote of the empty instance: it is
  // one lost instance all the while, so the others have to go on.
  it('keeps a majority when an instance loses its disk twice', () => {
    const survives = (group: ControlGroup, momentMs: number) => {
      group.wipe('b', 300);
      group.run(momentMs);
      group.wipe('b', 30_000);
      return group.commitEntry(RECOVERY_MS) !== undefined;
    };
    expect(findFatalMoments({from: 300, to: 2_000}, survives)).toEqual([]);
  });

  // Guards against a change that takes the vote of an instance which still has
  // its disk before the new majority is complete: once it is back, it and one
  // other hold everything.
  it('recovers when a voter returns after another lost its disk', () => {
    const survives = (group: ControlGroup, momentMs: number) => {
      group.add('d');
      group.run(CATCH_UP_MS);
      group.cut('b', momentMs + 1_000);
      group.run(momentMs);
      const lost = group.leader === 'c' ? 'c' : 'a';
      group.wipe(lost, 1_000);
      group.run(2_000);
      return group.commitEntry(RECOVERY_MS) !== undefined;
    };
    expect(findFatalMoments({from: 500, to: 2_500}, survives)).toEqual([]);
    expect(findFatalMoments({from: 7_500, to: 9_500}, survives)).toEqual([]);
  });

  // Guards against two majorities that do not overlap while voters change.
  it('never has two leaders of a term or two contents of an entry', () => {
    for (let seed = 1; seed <= FAULT_SEED_COUNT; seed++) {
      const group = runFaults(seed);
      expect([seed, ...group.violations]).toEqual([seed]);
      expect([seed, group.commitEntry(RECOVERY_MS)]).not.toContain(undefined);
    }
  });
});

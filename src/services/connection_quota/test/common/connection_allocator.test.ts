import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {MEMBER, BOOKS, TestFleet, type TestPooler} from './allocation_fixture';

const MAX_OPEN = 47;

function limitsOf(poolers: readonly TestPooler[]): number[] {
  return poolers.map(({limit}) => limit);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, one) => total + one, 0);
}

/** Applies a random fault or change to a fleet. */
function disturb(fleet: TestFleet, random: SeededRandom): void {
  const alive = fleet.poolers.filter(({isAlive}) => isAlive);
  const pooler = random.pick(alive);
  const kind = random.integer(0, 9);
  if (kind <= 3) pooler.wanted = random.integer(0, 60);
  else if (kind === 4 && alive.length > 3) fleet.kill(pooler);
  else if (kind === 5 && alive.length < 9) fleet.join();
  else if (kind === 6) fleet.elect();
  else if (kind === 7) pooler.keepsOpen = !pooler.keepsOpen;
  else if (kind === 8) {
    fleet.listed.delete(pooler.name);
    fleet.publishServices();
  } else {
    // A late list of an earlier stream.
    const grant = {service: BOOKS, instance: MEMBER, connections: 40};
    pooler.quota.setGrants({grants: [grant], number: 0});
  }
}

describe('the connections of one member', () => {
  it('are never exceeded by all poolers together', () => {
    // Guards against connections that are granted twice, which the member would
    // refuse, while poolers and leaders of control change.
    for (let seed = 1; seed <= 60; seed++) {
      const random = new SeededRandom(seed);
      const fleet = new TestFleet(MAX_OPEN, 6);
      fleet.delayMs = () => random.integer(1, 150);
      for (let round = 0; round < 60; round++) {
        disturb(fleet, random);
        fleet.run(random.integer(10, 900), () => {
          const label = `seed ${seed} round ${round}`;
          expect(fleet.totalOpen, label).toBeLessThanOrEqual(MAX_OPEN);
        });
      }
    }
  });

  it('stay with a pooler until it applied a lowered grant', () => {
    // Guards against an idle pooler that uses its old grant again while control
    // grants the same connections to another one.
    const fleet = new TestFleet(MAX_OPEN, 3);
    const [idle, other] = fleet.poolers;
    idle!.wanted = 36;
    fleet.run(3_000);
    idle!.wanted = 0;
    fleet.run(8_000);
    idle!.open = 0;
    fleet.run(1_000);
    expect(idle!.limit).toBeGreaterThan(20);
    idle!.wanted = 36;
    idle!.keepsOpen = true;
    other!.wanted = 36;
    fleet.run(2_000, () => {
      expect(fleet.totalOpen).toBeLessThanOrEqual(MAX_OPEN);
    });
  });

  it('are granted as wanted where there are enough', () => {
    const fleet = new TestFleet(MAX_OPEN, 6);
    fleet.poolers.forEach((pooler, at) => (pooler.wanted = at * 2));
    fleet.run(2_000);
    fleet.poolers.forEach(({open, wanted: wants}) => expect(open).toBe(wants));
  });

  it('are kept in part for poolers that start', () => {
    const fleet = new TestFleet(MAX_OPEN, 6);
    for (const pooler of fleet.poolers) pooler.wanted = 40;
    fleet.run(3_000);
    expect(sum(limitsOf(fleet.poolers))).toBe(MAX_OPEN - 6);
    const next = fleet.join();
    next.wanted = 40;
    fleet.run(150);
    expect(next.limit).toBeGreaterThanOrEqual(2);
  });

  it('are not all granted to the first pooler that reports', () => {
    // Guards against poolers that wait after a restart of the fleet, until the
    // first one released its connections.
    const fleet = new TestFleet(MAX_OPEN, 4);
    let next = 0;
    fleet.delayMs = () => (next++ % 4) * 60;
    for (let elapsed = 0; elapsed < 500; elapsed += 10) {
      fleet.run(10);
      expect(Math.max(...limitsOf(fleet.poolers))).toBeLessThanOrEqual(11);
    }
  });

  it('are granted to all poolers in part while one is flooded', () => {
    const fleet = new TestFleet(MAX_OPEN, 6);
    fleet.run(1_000);
    fleet.poolers[0]!.wanted = 256;
    fleet.run(3_000);
    expect(Math.min(...limitsOf(fleet.poolers))).toBeGreaterThanOrEqual(2);
    expect(fleet.poolers[0]!.limit).toBeGreaterThan(MAX_OPEN / 2);
  });
});

describe('a change of demand', () => {
  it('moves the grants of lost poolers within 300 ms', () => {
    // Guards against refused callers: half of the poolers fail while the load
    // rises.
    const fleet = new TestFleet(MAX_OPEN, 6);
    for (const pooler of fleet.poolers) pooler.wanted = 5;
    fleet.run(3_000);
    const remaining = fleet.poolers.slice(3);
    for (const pooler of fleet.poolers.slice(0, 3)) fleet.kill(pooler);
    for (const pooler of remaining) pooler.wanted = 17;
    fleet.run(300);
    for (const {limit} of remaining) expect(limit).toBeGreaterThanOrEqual(13);
  });

  it('moves the grant of an idle pooler to a busy one', () => {
    // Guards against callers that time out where the load moves to another
    // region.
    const fleet = new TestFleet(MAX_OPEN, 3);
    for (const pooler of fleet.poolers) pooler.wanted = 12;
    fleet.run(3_000);
    const [idle, busy] = fleet.poolers;
    idle!.wanted = 0;
    busy!.wanted = 36;
    fleet.run(1_000);
    expect(busy!.limit).toBeGreaterThanOrEqual(18);
    fleet.run(5_000);
    expect(idle!.limit).toBeLessThanOrEqual(4);
    expect(busy!.limit).toBeGreaterThanOrEqual(23);
  });
});

describe('a new leader of control', () => {
  it('grants nothing before all poolers reported', () => {
    // Guards against connections that are in use twice where only some poolers
    // attached to the new leader.
    const fleet = new TestFleet(MAX_OPEN, 6);
    for (const pooler of fleet.poolers) pooler.wanted = 20;
    fleet.run(3_000);
    const before = limitsOf(fleet.poolers);
    fleet.elect();
    for (const pooler of fleet.poolers.slice(3)) pooler.isCutOff = true;
    fleet.run(2_000);
    expect(limitsOf(fleet.poolers)).toEqual(before);
  });

  it('frees the connections of a pooler after a lease without report', () => {
    // Guards against connections that a hung pooler keeps from all others.
    const fleet = new TestFleet(MAX_OPEN, 6);
    for (const pooler of fleet.poolers) pooler.wanted = 20;
    fleet.run(3_000);
    const lost = fleet.poolers[0]!;
    const limit = fleet.poolers[1]!.limit;
    lost.isCutOff = true;
    fleet.run(2_500);
    expect(fleet.poolers[1]!.limit).toBe(limit);
    fleet.run(1_000);
    expect(lost.isGranted).toBe(false);
    expect(fleet.poolers[1]!.limit).toBeGreaterThan(limit);
  });
});

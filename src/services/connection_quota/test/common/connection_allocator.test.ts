import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {
  MEMBER,
  SERVICE,
  TestFleet,
  type TestPooler,
} from './allocation_fixture';

const SHARED = 47;

function limitsOf(poolers: readonly TestPooler[]): number[] {
  return poolers.map(({limit}) => limit);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, one) => total + one, 0);
}

/** Does one of the things that happen to fleets, drawn at random. */
function disturb(fleet: TestFleet, random: SeededRandom): void {
  const alive = fleet.poolers.filter(({isAlive}) => isAlive);
  const pooler = random.pick(alive);
  const kind = random.integer(0, 9);
  if (kind <= 3) pooler.wants = random.integer(0, 60);
  else if (kind === 4 && alive.length > 3) fleet.kill(pooler);
  else if (kind === 5 && alive.length < 9) fleet.join();
  else if (kind === 6) fleet.elect();
  else if (kind === 7) pooler.isHolding = !pooler.isHolding;
  else if (kind === 8) {
    fleet.listed.delete(pooler.name);
    fleet.tellServices();
  } else {
    // A list that a stream of old carried.
    const grant = {service: SERVICE, instance: MEMBER, connections: 40};
    pooler.room.setGrants({grants: [grant], number: 0});
  }
}

describe('what control hands out of one member', () => {
  it('is never more than the member takes', () => {
    // Callers see connections reset and requests tried again while instances
    // come, go and are cut from the list, leaders of control follow each
    // other, and each of them hears late and of some only. The cause was that
    // what a pooler still went by was given to others.
    for (let seed = 1; seed <= 60; seed++) {
      const random = new SeededRandom(seed);
      const fleet = new TestFleet(SHARED, 6);
      fleet.wayMs = () => random.integer(1, 150);
      for (let round = 0; round < 60; round++) {
        disturb(fleet, random);
        fleet.run(random.integer(10, 900), () => {
          const all = `seed ${seed} round ${round}`;
          expect(fleet.openInAll, all).toBeLessThanOrEqual(SHARED);
        });
      }
    }
  });

  it('stays with who was told to give it back until that is done', () => {
    // A pooler rests on a large grant. Its callers come back just when those
    // of another one ask for as much: it opens by the grant that control is
    // taking from it, and keeps what its work holds.
    const fleet = new TestFleet(SHARED, 3);
    const [resting, other] = fleet.poolers;
    resting!.wants = 36;
    fleet.run(3_000);
    resting!.wants = 0;
    fleet.run(8_000);
    resting!.open = 0;
    fleet.run(1_000);
    expect(resting!.limit).toBeGreaterThan(20);
    resting!.wants = 36;
    resting!.isHolding = true;
    other!.wants = 36;
    fleet.run(2_000, () => {
      expect(fleet.openInAll).toBeLessThanOrEqual(SHARED);
    });
  });

  it('is what each wants while all of it fits', () => {
    const fleet = new TestFleet(SHARED, 6);
    fleet.poolers.forEach((pooler, at) => (pooler.wants = at * 2));
    fleet.run(2_000);
    fleet.poolers.forEach(({open, wants}) => expect(open).toBe(wants));
  });

  it('leaves an eighth to poolers that come', () => {
    const fleet = new TestFleet(SHARED, 6);
    for (const pooler of fleet.poolers) pooler.wants = 40;
    fleet.run(3_000);
    expect(sum(limitsOf(fleet.poolers))).toBe(SHARED - 6);
    const next = fleet.join();
    next.wants = 40;
    fleet.run(150);
    expect(next.limit).toBeGreaterThanOrEqual(2);
  });

  it('does not go to whoever reports first', () => {
    // After a common restart the first of four poolers got 41 of 47, and the
    // others waited until it had given them back.
    const fleet = new TestFleet(SHARED, 4);
    let next = 0;
    fleet.wayMs = () => (next++ % 4) * 60;
    for (let passed = 0; passed < 500; passed += 10) {
      fleet.run(10);
      expect(Math.max(...limitsOf(fleet.poolers))).toBeLessThanOrEqual(11);
    }
  });

  it('leaves a floor to each pooler while one floods', () => {
    const fleet = new TestFleet(SHARED, 6);
    fleet.run(1_000);
    fleet.poolers[0]!.wants = 256;
    fleet.run(3_000);
    expect(Math.min(...limitsOf(fleet.poolers))).toBeGreaterThanOrEqual(2);
    expect(fleet.poolers[0]!.limit).toBeGreaterThan(SHARED / 2);
  });
});

describe('half of the poolers gone under a burst', () => {
  it('gives their part to the others within 300 ms', () => {
    // Load: six poolers keep 5 connections each busy; three are killed while
    // callers ask 1.7 times as much, so that each of the others has work for
    // 17. Callers wait a quarter of a second at most before they are refused.
    const fleet = new TestFleet(SHARED, 6);
    for (const pooler of fleet.poolers) pooler.wants = 5;
    fleet.run(3_000);
    const rest = fleet.poolers.slice(3);
    for (const pooler of fleet.poolers.slice(0, 3)) fleet.kill(pooler);
    for (const pooler of rest) pooler.wants = 17;
    fleet.run(300);
    for (const {limit} of rest) expect(limit).toBeGreaterThanOrEqual(13);
  });

  it('takes back from one that rests what another lacks', () => {
    // Load: the callers of one region stop, those of another ask three times
    // as much. Its pooler gets what the others rest on before the callers'
    // patience of a second is over.
    const fleet = new TestFleet(SHARED, 3);
    for (const pooler of fleet.poolers) pooler.wants = 12;
    fleet.run(3_000);
    const [resting, busy] = fleet.poolers;
    resting!.wants = 0;
    busy!.wants = 36;
    fleet.run(1_000);
    expect(busy!.limit).toBeGreaterThanOrEqual(18);
    fleet.run(5_000);
    expect(resting!.limit).toBeLessThanOrEqual(4);
    expect(busy!.limit).toBeGreaterThanOrEqual(23);
  });
});

describe('a leader of control that follows another', () => {
  it('grants nothing before it knows what all have', () => {
    // Callers see resets right after control changed its leader: three of six
    // poolers reached the new one first, and got the parts of the others.
    const fleet = new TestFleet(SHARED, 6);
    for (const pooler of fleet.poolers) pooler.wants = 20;
    fleet.run(3_000);
    const before = limitsOf(fleet.poolers);
    fleet.elect();
    for (const pooler of fleet.poolers.slice(3)) pooler.isCutOff = true;
    fleet.run(2_000);
    expect(limitsOf(fleet.poolers)).toEqual(before);
  });

  it('frees the part of one that it does not hear for a lease', () => {
    // A pooler hangs, with its stream open. Its connections would be missing to
    // the callers of all others for as long as that lasts.
    const fleet = new TestFleet(SHARED, 6);
    for (const pooler of fleet.poolers) pooler.wants = 20;
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

import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {AccountWorld, PRECISION} from './account_world';

const {windowMs: WINDOW_MS, excess, slack} = PRECISION;

/** What the users allow in a span of five seconds. */
function allowed({perSecond, burst}: {perSecond: number; burst: number}) {
  return ((perSecond * WINDOW_MS) / 1_000 + burst) * (1 + excess) + slack;
}

/** Limits as on the users' sheet: a few large accounts, many small ones. */
const LIMITS = [122, 41, 14, 5].map(rate => ({perSecond: rate, burst: rate}));

describe('an account below its limit', () => {
  it.each(LIMITS)('is never refused, wherever its callers are: %o', limit => {
    // Load: 0.8 of the rate at 42 instances at random, as on a calm day. With
    // equal shares of the rate an instance would refuse each second operation
    // of a small account.
    const world = new AccountWorld(new SeededRandom(1), 42, limit);
    world.run(20_000, limit.perSecond * 0.8);
    expect(world.refused).toBe(0);
  });

  it('goes on while control is lost for two seconds', () => {
    const limit = {perSecond: 122, burst: 122};
    const world = new AccountWorld(new SeededRandom(2), 42, limit);
    world.run(10_000, 95);
    for (const runner of world.runners) runner.isCut = true;
    world.run(2_000, 95);
    expect(world.refused / world.ran.length).toBeLessThan(0.02);
  });
});

describe('an account whose callers come in a crowd', () => {
  it.each(LIMITS)('stays below while control is lost: %o', limit => {
    // Load: 1.7 times the usual for as long as control is lost. Nobody adds up
    // what the instances run; each keeps to what it was asked for before.
    for (let seed = 1; seed <= 5; seed++) {
      const world = new AccountWorld(new SeededRandom(seed), 42, limit);
      world.run(8_000, limit.perSecond * 0.8);
      for (const runner of world.runners) runner.isCut = true;
      world.run(4_500, limit.perSecond * 1.7);
      expect(world.mostWithin(WINDOW_MS)).toBeLessThan(allowed(limit));
    }
  });
});

describe('an account beyond its limit', () => {
  it.each(LIMITS)('stays below what is allowed: %o', limit => {
    // Load: twice and a half the rate, for long, at 42 instances.
    for (let seed = 1; seed <= 5; seed++) {
      const world = new AccountWorld(new SeededRandom(seed), 42, limit);
      world.run(8_000, limit.perSecond * 0.8);
      world.run(12_000, limit.perSecond * 2.5);
      expect(world.mostWithin(WINDOW_MS)).toBeLessThan(allowed(limit));
    }
  });

  it('gets what it may', () => {
    const limit = {perSecond: 41, burst: 41};
    const world = new AccountWorld(new SeededRandom(3), 42, limit);
    world.run(20_000, 80);
    // Its rate for 5 s and its burst, again and again.
    const inWindow = (world.ran.length / 20) * 5;
    expect(inWindow).toBeGreaterThan(limit.perSecond * 6 * 0.9);
  });

  it('stays there while control is lost and its leader changes', () => {
    // An account asks for twice its rate and is limited. Control's leader is
    // lost, half of the instances are cut off for some seconds, one restarts.
    const limit = {perSecond: 60, burst: 60};
    for (let seed = 1; seed <= 20; seed++) {
      const random = new SeededRandom(seed);
      const world = new AccountWorld(random, 24, limit);
      world.run(6_000, 120);
      for (const runner of world.runners) runner.isCut = true;
      world.run(random.integer(200, 1_500), 120);
      world.changeLeader();
      for (const [at, runner] of world.runners.entries()) {
        runner.isCut = at % 2 === 0;
      }
      world.runners[3]!.restart();
      world.run(3_000, 120);
      for (const runner of world.runners) runner.isCut = false;
      world.run(4_000, 120);
      const most = world.mostWithin(WINDOW_MS);
      expect(most, `seed ${seed}`).toBeLessThan(allowed(limit));
    }
  });

  it('is held to a lower limit within a window', () => {
    // The operator lowers the limit far below what the account asks for.
    const lower = {perSecond: 6, burst: 6};
    for (let seed = 1; seed <= 10; seed++) {
      const random = new SeededRandom(seed);
      const high = {perSecond: 60, burst: 60};
      const world = new AccountWorld(random, 42, high);
      world.run(6_000, 45);
      world.setLimit(lower);
      const loweredAt = world.clock.now();
      world.run(15_000, 45);
      const most = world.mostWithin(WINDOW_MS, loweredAt + WINDOW_MS);
      expect(most, `seed ${seed}`).toBeLessThan(allowed(lower));
    }
  });

  it('is free again soon after it asks for less, or may ask for more', () => {
    const limit = {perSecond: 20, burst: 20};
    const world = new AccountWorld(new SeededRandom(4), 24, limit);
    world.run(8_000, 60);
    world.setLimit({perSecond: 100, burst: 100});
    world.run(4_000, 60);
    const {refused} = world;
    world.run(4_000, 60);
    expect(world.refused).toBe(refused);
  });
});

it('tells an account when it has room again', () => {
  const limit = {perSecond: 10, burst: 10};
  const world = new AccountWorld(new SeededRandom(5), 1, limit);
  world.run(6_000, 40);
  const {throttle} = world.runners[0]!;
  const refusal = throttle.admit('fern');
  const waitMs = refusal.isErr ? refusal.error.retryAfterMs : 0;
  expect(waitMs).toBeGreaterThan(0);
  expect(waitMs).toBeLessThanOrEqual(100);
  world.clock.advance(waitMs);
  expect(throttle.admit('fern').isOk).toBe(true);
});

import {expect, it} from 'vitest';
import {ManualClock} from '../../common/clock';
import {SuspendAwareClock} from '../../node/suspend_aware_clock';

function makeClock() {
  const steady = new ManualClock();
  const wall = {time: 5_000};
  const clock = new SuspendAwareClock(steady, () => wall.time);
  const advance = (steadyMs: number, wallMs: number) => {
    steady.advance(steadyMs);
    wall.time += wallMs;
  };
  return {clock, advance};
}

it('includes time in which the machine was suspended', () => {
  // Guards against reads of stale data: the steady clock does not advance
  // during a suspension, so data from before it would count as fresh.
  const {clock, advance} = makeClock();
  advance(10, 10);
  expect(clock.now()).toBe(10);
  advance(1, 4_001);
  expect(clock.now()).toBe(4_011);
});

it('does not go back with the wall clock', () => {
  const {clock, advance} = makeClock();
  advance(100, -60_000);
  expect(clock.now()).toBe(100);
  advance(100, 100);
  expect(clock.now()).toBe(200);
});

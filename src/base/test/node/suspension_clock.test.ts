import {expect, it} from 'vitest';
import {ManualClock} from '../../common/clock';
import {SuspensionClock} from '../../node/suspension_clock';

function makeClock() {
  const steady = new ManualClock();
  const day = {time: 5_000};
  const clock = new SuspensionClock(steady, () => day.time);
  const pass = (bySteady: number, byDay: number) => {
    steady.advance(bySteady);
    day.time += byDay;
  };
  return {clock, pass};
}

it('counts the time in which the machine was suspended', () => {
  // A machine is suspended for 4 s. The steady clock does not move, so what
  // was fresh before would pass for fresh, and a read would be too old.
  const {clock, pass} = makeClock();
  pass(10, 10);
  expect(clock.now()).toBe(10);
  pass(1, 4_001);
  expect(clock.now()).toBe(4_011);
});

it('never goes back with the time of day', () => {
  const {clock, pass} = makeClock();
  pass(100, -60_000);
  expect(clock.now()).toBe(100);
  pass(100, 100);
  expect(clock.now()).toBe(200);
});

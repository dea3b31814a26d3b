import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {GRID_MS, Ticker, type PeriodicCallback} from '../../node/ticker';

let ticker: Ticker;
let now = 0;
let wakeUps = 0;

function makeBeat(
  periodMs: () => number,
): PeriodicCallback & {times: number[]} {
  const times: number[] = [];
  return {times, periodMs, onDidCome: () => times.push(now)};
}

/** Lets time pass; counts the moments at which the process has to wake up. */
function pass(milliseconds: number): void {
  for (const until = now + milliseconds; now < until;) {
    now++;
    const before = vi.getTimerCount();
    vi.advanceTimersByTime(1);
    if (vi.getTimerCount() < before || hasCome()) wakeUps++;
  }
}

let beats: (PeriodicCallback & {times: number[]})[] = [];
const hasCome = () => beats.some(({times}) => times.at(-1) === now);

beforeEach(() => {
  vi.useFakeTimers();
  now = 7;
  wakeUps = 0;
  beats = [];
  ticker = new Ticker(() => now);
});

afterEach(() => vi.useRealTimers());

describe('beats of one process', () => {
  it('come together where they have the same period', () => {
    // A proxy before six services, with links to forty others, has some fifty
    // things to look at, each begun at another moment. Each of them with a
    // timer of its own, it wakes up for one after the other.
    for (let count = 0; count < 50; count++) {
      const beat = makeBeat(() => 250);
      beats.push(beat);
      ticker.schedule(beat);
      pass(3);
    }
    pass(1_000);
    wakeUps = 0;
    pass(1_000);
    expect(wakeUps).toBe(4);
    expect(new Set(beats.map(({times}) => times.at(-1))).size).toBe(1);
  });

  it('come at their periods, to half a step at the beginning', () => {
    const beat = makeBeat(() => 300);
    beats.push(beat);
    ticker.schedule(beat);
    pass(1_000);
    expect(beat.times).toEqual([300, 600, 900]);
  });

  it('cost nothing while they rest, and come soon when told', () => {
    let periodMs = Infinity;
    const beat = makeBeat(() => periodMs);
    beats.push(beat);
    ticker.schedule(beat);
    pass(10_000);
    expect(wakeUps).toBe(0);
    periodMs = GRID_MS;
    const toldAt = now;
    ticker.schedule(beat);
    pass(2 * GRID_MS);
    expect(beat.times[0]! - toldAt).toBeLessThanOrEqual(1.5 * GRID_MS);
  });

  it('end, also from within one of them', () => {
    const last = makeBeat(() => 100);
    const first: PeriodicCallback = {
      periodMs: () => 100,
      onDidCome: () => {
        ticker.remove(last);
        ticker.remove(first);
      },
    };
    ticker.schedule(first);
    ticker.schedule(last);
    pass(1_000);
    expect(last.times).toEqual([]);
    expect(vi.getTimerCount()).toBe(0);
  });
});

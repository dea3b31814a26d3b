import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {TICK_MS, Ticker, type PeriodicCallback} from '../../node/ticker';

let ticker: Ticker;
let now = 0;
let wakeUpCount = 0;

function makePeriodic(
  periodMs: () => number,
): PeriodicCallback & {times: number[]} {
  const times: number[] = [];
  return {times, periodMs, onDidTick: () => times.push(now)};
}

/** Advances time; counts the moments at which the process wakes up. */
function advance(milliseconds: number): void {
  for (const until = now + milliseconds; now < until;) {
    now++;
    const before = vi.getTimerCount();
    vi.advanceTimersByTime(1);
    if (vi.getTimerCount() < before || hasRun()) wakeUpCount++;
  }
}

let periodics: (PeriodicCallback & {times: number[]})[] = [];
const hasRun = () => periodics.some(({times}) => times.at(-1) === now);

beforeEach(() => {
  vi.useFakeTimers();
  now = 7;
  wakeUpCount = 0;
  periodics = [];
  ticker = new Ticker(() => now);
});

afterEach(() => vi.useRealTimers());

describe('periodic callbacks of one process', () => {
  it('run together if they have the same period', () => {
    // Guards against an idle process waking up separately for each of its
    // many periodic checks, which were started at different moments.
    for (let count = 0; count < 50; count++) {
      const periodic = makePeriodic(() => 250);
      periodics.push(periodic);
      ticker.schedule(periodic);
      advance(3);
    }
    advance(1_000);
    wakeUpCount = 0;
    advance(1_000);
    expect(wakeUpCount).toBe(4);
    expect(new Set(periodics.map(({times}) => times.at(-1))).size).toBe(1);
  });

  it('run at their periods, the first within half a period', () => {
    const periodic = makePeriodic(() => 300);
    periodics.push(periodic);
    ticker.schedule(periodic);
    advance(1_000);
    expect(periodic.times).toEqual([300, 600, 900]);
  });

  it('cause no wake-ups while idle, and run soon once rescheduled', () => {
    let periodMs = Infinity;
    const periodic = makePeriodic(() => periodMs);
    periodics.push(periodic);
    ticker.schedule(periodic);
    advance(10_000);
    expect(wakeUpCount).toBe(0);
    periodMs = TICK_MS;
    const rescheduledAt = now;
    ticker.schedule(periodic);
    advance(2 * TICK_MS);
    expect(periodic.times[0]! - rescheduledAt).toBeLessThanOrEqual(
      1.5 * TICK_MS,
    );
  });

  it('can be removed, also while one of them runs', () => {
    const last = makePeriodic(() => 100);
    const first: PeriodicCallback = {
      periodMs: () => 100,
      onDidTick: () => {
        ticker.remove(last);
        ticker.remove(first);
      },
    };
    ticker.schedule(first);
    ticker.schedule(last);
    advance(1_000);
    expect(last.times).toEqual([]);
    expect(vi.getTimerCount()).toBe(0);
  });
});

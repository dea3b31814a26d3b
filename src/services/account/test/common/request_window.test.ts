import {expect, it} from 'vitest';
import {RequestWindow} from '../../common/request_window';

const TIMEOUT_MS = 60;
const FAST = {tookMs: 5, pendingCount: 1};

function makeWindow(fraction = 0.5): RequestWindow {
  return new RequestWindow(TIMEOUT_MS, {fraction: () => fraction});
}

/** Returns how many requests may be pending. */
function sizeOf(window: RequestWindow, now = 0): number {
  let count = 0;
  while (window.allows(count, now)) count++;
  return count;
}

/** Times out until the window cannot shrink any more. */
function shrink(window: RequestWindow): void {
  while (sizeOf(window) > 1) window.onTimeout(sizeOf(window), 0);
}

it('stays wide while answers are fast', () => {
  const window = makeWindow();
  const initial = sizeOf(window);
  for (let count = 0; count < 50; count++) window.onAnswer(FAST);
  expect(sizeOf(window)).toBe(initial);
});

it('shrinks on slow answers, before requests time out', () => {
  // Guards against work of the peer on requests that nobody waits for.
  const window = makeWindow();
  const initial = sizeOf(window);
  for (let pendingCount = initial; pendingCount > 2; pendingCount--) {
    window.onAnswer({tookMs: TIMEOUT_MS / 2, pendingCount});
  }
  expect(sizeOf(window)).toBeLessThan(4);
  for (let count = 0; count < 1_000; count++) window.onAnswer(FAST);
  expect(sizeOf(window)).toBe(initial);
});

it('allows no request beside one that a hung peer did not answer', () => {
  // Guards against a timeout for each operation while a peer hangs.
  const window = makeWindow();
  window.onTimeout(1, 0);
  expect(window.allows(1, 10_000)).toBe(false);
  expect(window.allows(0, 0)).toBe(true);
});

it('pauses for longer each time that even one request is too many', () => {
  // Guards against an overload by single requests of many proxies.
  const window = makeWindow();
  shrink(window);
  let now = 0;
  const pauses: number[] = [];
  for (let count = 0; count < 6; count++) {
    window.onTimeout(1, now);
    const pausedAt = now;
    while (!window.allows(0, now)) now++;
    pauses.push(now - pausedAt);
  }
  expect(pauses).toEqual([100, 200, 400, 800, 1_000, 1_000]);
  window.onAnswer(FAST);
  window.onTimeout(1, now);
  expect(window.allows(0, now + 100)).toBe(true);
});

it('spreads pauses, so that proxies do not return together', () => {
  const [early, late] = [makeWindow(0), makeWindow(1)];
  for (const window of [early, late]) {
    shrink(window);
    window.onTimeout(1, 0);
  }
  expect(early.allows(0, 50)).toBe(true);
  expect(late.allows(0, 149)).toBe(false);
});

import {vi} from 'vitest';

const STEP_MS = 5;
/** Tasks and promises that follow from one step run within these turns. */
const TURNS_PER_STEP = 4;

/** Replaces timers and clocks; tasks are scheduled on the real event loop. */
export function useVirtualTime(): void {
  vi.useFakeTimers({
    now: 0,
    toFake: [
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
      'Date',
      'performance',
    ],
  });
}

/** Lets virtual time pass. */
export async function advance(milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
    vi.advanceTimersByTime(STEP_MS);
    for (let turn = 0; turn < TURNS_PER_STEP; turn++) {
      await new Promise(resolve => setImmediate(resolve));
    }
  }
}

/** Waits in virtual time. */
export function delay(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

import {describe, expect, it} from 'vitest';
import {ConcurrencyWindow} from '../../common/concurrency_window';

/** Requests that a member with a queue takes at once, from all instances. */
const MEMBER_ROOM = 19;

describe('the window of transactions at a member', () => {
  it('keeps instances together within what the member takes', () => {
    // The heaviest pattern: replicas lag, and nine instances send every read
    // to the primary, each with more than it can run. Without a window most
    // statements come back refused and are sent again, and take the time of
    // those that could be served. 19 is 3 slots and 16 places in the queue.
    const windows = Array.from({length: 9}, () => new ConcurrencyWindow());
    let refused = 0;
    let served = 0;
    for (let turn = 0; turn < 400; turn++) {
      const running = windows.map(() => 0);
      const total = () => running.reduce((sum, count) => sum + count, 0);
      for (let at = 0; at < 90; at++) {
        const each = at % windows.length;
        if (!windows[each]!.allows(running[each]!)) continue;
        if (total() < MEMBER_ROOM) {
          running[each]!++;
          continue;
        }
        refused++;
        windows[each]!.onBusy(running[each]!);
      }
      served += total();
      running.forEach((count, each) => {
        for (let answer = 0; answer < count; answer++) {
          windows[each]!.onAnswer();
        }
      });
    }
    // Without it, 71 of 90 are refused in each turn.
    expect(refused / (refused + served)).toBeLessThan(0.35);
    expect(served / 400).toBeGreaterThan(MEMBER_ROOM * 0.6);
  });

  it('never closes altogether', () => {
    const window = new ConcurrencyWindow();
    for (let time = 0; time < 50; time++) window.onBusy(0);
    expect(window.allows(0)).toBe(true);
  });
});

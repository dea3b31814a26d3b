import {describe, expect, it} from 'vitest';
import {ConcurrencyWindow} from '../../common/concurrency_window';

/** Transactions that a member runs and queues at a time, of all instances. */
const MEMBER_CAPACITY = 19;

describe('ConcurrencyWindow', () => {
  it('keeps all instances together within the capacity of a member', () => {
    // Replicas lag, and all instances send their reads to the primary. Without
    // a window, it would refuse most of them again and again.
    const windows = Array.from({length: 9}, () => new ConcurrencyWindow());
    let refusedCount = 0;
    let servedCount = 0;
    for (let turn = 0; turn < 400; turn++) {
      const runningCounts = windows.map(() => 0);
      const total = () => runningCounts.reduce((sum, count) => sum + count, 0);
      for (let attempt = 0; attempt < 90; attempt++) {
        const instance = attempt % windows.length;
        if (!windows[instance]!.allows(runningCounts[instance]!)) continue;
        if (total() < MEMBER_CAPACITY) {
          runningCounts[instance]!++;
          continue;
        }
        refusedCount++;
        windows[instance]!.onBusy(runningCounts[instance]!);
      }
      servedCount += total();
      runningCounts.forEach((count, instance) => {
        for (let reply = 0; reply < count; reply++) {
          windows[instance]!.onAnswer();
        }
      });
    }
    expect(refusedCount / (refusedCount + servedCount)).toBeLessThan(0.35);
    expect(servedCount / 400).toBeGreaterThan(MEMBER_CAPACITY * 0.6);
  });

  it('always allows one transaction', () => {
    const window = new ConcurrencyWindow();
    for (let count = 0; count < 50; count++) window.onBusy(0);
    expect(window.allows(0)).toBe(true);
  });
});

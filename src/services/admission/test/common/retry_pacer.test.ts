import {describe, expect, it} from 'vitest';
import {RetryPacer} from '../../common/retry_pacer';

describe('times to come back', () => {
  it('follow one another as fast as the queue drains', () => {
    // Fifty callers are refused within one moment; all would come back after
    // 200 ms to a queue that places one each 10 ms.
    const returns = new RetryPacer();
    const times = Array.from({length: 50}, () =>
      returns.nextDelayMs(0, 200, 10),
    );
    expect(times[0]).toBe(200);
    expect(times[49]).toBe(690);
    expect(new Set(times).size).toBe(50);
  });

  it('keep nobody away for much longer than the queue needs', () => {
    const returns = new RetryPacer();
    const times = Array.from({length: 500}, () =>
      returns.nextDelayMs(0, 200, 10),
    );
    expect(Math.max(...times)).toBeLessThanOrEqual(1_200);
  });

  it('begin anew once the others came back', () => {
    const returns = new RetryPacer();
    returns.nextDelayMs(0, 200, 10);
    expect(returns.nextDelayMs(5_000, 100, 10)).toBe(100);
  });
});

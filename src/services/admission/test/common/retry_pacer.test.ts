import {describe, expect, it} from 'vitest';
import {RetryPacer} from '../../common/retry_pacer';

describe('RetryPacer', () => {
  it('spreads retries at the drain rate of the queue', () => {
    // All callers are refused at once and would return at once.
    const pacer = new RetryPacer();
    const delays = Array.from({length: 50}, () =>
      pacer.nextDelayMs(0, 200, 10),
    );
    expect(delays[0]).toBe(200);
    expect(delays[49]).toBe(690);
    expect(new Set(delays).size).toBe(50);
  });

  it('bounds the additional delay', () => {
    const pacer = new RetryPacer();
    const delays = Array.from({length: 500}, () =>
      pacer.nextDelayMs(0, 200, 10),
    );
    expect(Math.max(...delays)).toBeLessThanOrEqual(1_200);
  });

  it('starts anew once earlier retries are over', () => {
    const pacer = new RetryPacer();
    pacer.nextDelayMs(0, 200, 10);
    expect(pacer.nextDelayMs(5_000, 100, 10)).toBe(100);
  });
});

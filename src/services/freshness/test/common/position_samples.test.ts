import {describe, expect, it} from 'vitest';
import {PositionSamples} from '../../common/position_samples';

const at = (offset: number, term = 1) => ({term, offset});

describe('PositionSamples', () => {
  it('covers a moment only by a request sent at or after it', () => {
    const samples = new PositionSamples();
    samples.add(100, at(5));
    samples.add(200, at(9));
    expect(samples.findCovering(100)).toEqual(at(5));
    expect(samples.findCovering(150)).toEqual(at(9));
    expect(samples.findCovering(201)).toBeUndefined();
  });

  it('covers moments between samples that were dropped', () => {
    const samples = new PositionSamples();
    for (let time = 0; time <= 1_000; time += 10) samples.add(time, at(time));
    for (let time = 0; time < 1_000; time += 7) {
      const covering = samples.findCovering(time)!;
      expect(covering.offset).toBeGreaterThanOrEqual(time);
    }
  });

  it('drops the old term, whose last positions may be rolled back', () => {
    // No replica will ever reach a position that only the old primary had, and
    // reads that require it would be rejected by all of them.
    const samples = new PositionSamples();
    samples.add(100, at(50, 1));
    samples.add(200, at(48, 2));
    expect(samples.findCovering(90)).toEqual(at(48, 2));
  });

  it('ignores positions of an older term', () => {
    const samples = new PositionSamples();
    samples.add(100, at(48, 2));
    samples.add(200, at(60, 1));
    expect(samples.newest).toEqual(at(48, 2));
  });
});

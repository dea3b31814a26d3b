import {describe, expect, it} from 'vitest';
import {PositionSamples} from '../../common/position_samples';

const at = (offset: number, term = 1) => ({term, offset});

describe('samples of a primary', () => {
  it('cover a time only from a question asked at or after it', () => {
    const samples = new PositionSamples();
    samples.add(100, at(5));
    samples.add(200, at(9));
    expect(samples.findCovering(100)).toEqual(at(5));
    expect(samples.findCovering(150)).toEqual(at(9));
    expect(samples.findCovering(201)).toBeUndefined();
  });

  it('keep covering times between samples that were thinned out', () => {
    const samples = new PositionSamples();
    for (let time = 0; time <= 1_000; time += 10) samples.add(time, at(time));
    for (let time = 0; time < 1_000; time += 7) {
      const covering = samples.findCovering(time)!;
      expect(covering.offset).toBeGreaterThanOrEqual(time);
    }
  });

  it('forget the old term, whose last numbers may be rolled back', () => {
    // The old primary showed a commit that no replica had received. After the
    // promotion no log will ever reach that number, and reads that asked for
    // it would be turned away by every replica.
    const samples = new PositionSamples();
    samples.add(100, at(50, 1));
    samples.add(200, at(48, 2));
    expect(samples.findCovering(90)).toEqual(at(48, 2));
  });

  it('do not take the word of a term that is over', () => {
    const samples = new PositionSamples();
    samples.add(100, at(48, 2));
    samples.add(200, at(60, 1));
    expect(samples.newest).toEqual(at(48, 2));
  });
});

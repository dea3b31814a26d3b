import {describe, expect, it} from 'vitest';
import {replacementSilenceMs} from '../../common/replacement_silence';

describe('the silence after which a voter is replaced', () => {
  it('leaves a successor most of its time to become a voter', () => {
    const timing = {catchUpMs: 4_000, minSilenceMs: 700};
    expect(replacementSilenceMs(timing)).toBe(1_000);
  });

  // Guards against replacing voters whose heartbeats are merely late.
  it('is never shorter than that of a responsive voter', () => {
    const timing = {catchUpMs: 1_000, minSilenceMs: 700};
    expect(replacementSilenceMs(timing)).toBe(700);
  });

  it('is long where no bound is configured', () => {
    const timing = {catchUpMs: 0, minSilenceMs: 700};
    expect(replacementSilenceMs(timing)).toBe(8_000);
  });
});

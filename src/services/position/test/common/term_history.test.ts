import {describe, expect, it} from 'vitest';
import {TermHistory} from '../../common/term_history';

const start = (term: number, baseOffset: number, baseTerm: number) => ({
  term,
  baseOffset,
  baseTerm,
});

/** Term 3 goes on with term 1: term 2's primary was lost with its log. */
const SKIPPED = [start(1, 0, 0), start(2, 90, 1), start(3, 100, 1)];

describe('the lineage of terms', () => {
  it('holds what lies before the start of each later term', () => {
    const lineage = new TermHistory(2, [start(1, 0, 0), start(2, 90, 1)]);
    expect(lineage.contains({term: 1, offset: 90})).toBe(true);
    expect(lineage.contains({term: 1, offset: 91})).toBe(false);
    expect(lineage.contains({term: 2, offset: 500})).toBe(true);
  });

  // Term 2 did not have the write at 1/95; term 3 goes on with the log that
  // has it. Looking at term 2 alone would call it "not run".
  it('goes back over a term that was skipped', () => {
    const lineage = new TermHistory(3, SKIPPED);
    expect(lineage.contains({term: 1, offset: 95})).toBe(true);
    expect(lineage.contains({term: 2, offset: 95})).toBe(false);
    expect(lineage.commonOffset(2)).toBe(90);
    expect(lineage.requiredOffset({term: 2, offset: 95})).toBe(90);
  });

  it('knows terms that are too old to be listed by their limit', () => {
    const lineage = new TermHistory(9, [start(8, 500, 7), start(9, 600, 8)]);
    expect(lineage.contains({term: 3, offset: 400})).toBe(true);
    expect(lineage.commonOffset(3)).toBe(500);
  });
});

import {describe, expect, it} from 'vitest';
import {TermHistory} from '../../common/term_history';

const start = (term: number, baseOffset: number, baseTerm: number) => ({
  term,
  baseOffset,
  baseTerm,
});

/** Term 3 continues the log of term 1; that of term 2 was lost. */
const SKIPPED = [start(1, 0, 0), start(2, 90, 1), start(3, 100, 1)];

describe('TermHistory', () => {
  it('contains positions before the start of each later term', () => {
    const history = new TermHistory(2, [start(1, 0, 0), start(2, 90, 1)]);
    expect(history.contains({term: 1, offset: 90})).toBe(true);
    expect(history.contains({term: 1, offset: 91})).toBe(false);
    expect(history.contains({term: 2, offset: 500})).toBe(true);
  });

  // Guards against reporting a write as "not run" that term 2 lacks, but term 3
  // contains.
  it('skips a term whose log was not continued', () => {
    const history = new TermHistory(3, SKIPPED);
    expect(history.contains({term: 1, offset: 95})).toBe(true);
    expect(history.contains({term: 2, offset: 95})).toBe(false);
    expect(history.commonOffset(2)).toBe(90);
    expect(history.requiredOffset({term: 2, offset: 95})).toBe(90);
  });

  it('limits terms that are too old to be listed', () => {
    const history = new TermHistory(9, [start(8, 500, 7), start(9, 600, 8)]);
    expect(history.contains({term: 3, offset: 400})).toBe(true);
    expect(history.commonOffset(3)).toBe(500);
  });
});

import {describe, expect, it} from 'vitest';
import {
  completeReplacement,
  hasMajority,
  isSafeChange,
  isVoter,
  majorityValue,
  makeConfiguration,
  replaceVoter,
} from '../../common/configuration';
import {makePeer} from './consensus_simulation';

const [a, b, c] = [makePeer('a'), makePeer('b'), makePeer('c')];
const d = makePeer('d', false);
const BEFORE = makeConfiguration([a!, b!, c!, d]);
const JOINT = replaceVoter(BEFORE, c!, d);
const AFTER = completeReplacement(JOINT);

describe('a replacement that is under way', () => {
  // Guards against decisions without a majority of the old or the new voters.
  it('needs a majority of the old and one of the new voters', () => {
    const decides = (...ids: string[]) => hasMajority(JOINT, new Set(ids));
    expect(decides('a', 'b')).toBe(true);
    expect(decides('a', 'c', 'd')).toBe(true);
    expect(decides('a', 'd')).toBe(false);
    expect(decides('a', 'c')).toBe(false);
    const values = new Map([
      ['a', 9],
      ['b', 5],
      ['c', 2],
      ['d', 7],
    ]);
    expect(majorityValue(JOINT, id => values.get(id)!)).toBe(5);
    values.set('d', 1);
    values.set('b', 1);
    expect(majorityValue(JOINT, id => values.get(id)!)).toBe(1);
  });

  it('counts both instances as voters until it is complete', () => {
    expect(isVoter(JOINT, 'c')).toBe(true);
    expect(isVoter(JOINT, 'd')).toBe(true);
    expect(isVoter(AFTER, 'c')).toBe(false);
    expect(AFTER.peers.map(({id}) => id)).toEqual(['a', 'b', 'd']);
  });
});

describe('a change of the voters', () => {
  it('is safe one voter at a time, or by a replacement', () => {
    const smaller = makeConfiguration([a!, b!, d]);
    expect(isSafeChange(BEFORE, smaller)).toBe(true);
    expect(isSafeChange(BEFORE, JOINT)).toBe(true);
    expect(isSafeChange(JOINT, AFTER)).toBe(true);
  });

  // Guards against majorities before and after a change that do not overlap.
  it('is refused if majorities may not overlap', () => {
    expect(isSafeChange(BEFORE, AFTER)).toBe(false);
    expect(isSafeChange(BEFORE, makeConfiguration([]))).toBe(false);
    expect(isSafeChange(JOINT, BEFORE)).toBe(false);
    expect(isSafeChange(JOINT, replaceVoter(AFTER, a!, c!))).toBe(false);
    const foreign = {...JOINT, outgoingVoters: ['a', 'b']};
    expect(isSafeChange(BEFORE, foreign)).toBe(false);
  });
});

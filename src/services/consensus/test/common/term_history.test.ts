import {expect, it} from 'vitest';
import {TermHistory} from '../../common/term_history';

it('knows when a later term was seen', () => {
  const history = new TermHistory({index: 4, term: 2});
  history.record({index: 5, term: 2}, 100);
  expect(history.endOf(5)).toBeUndefined();
  history.record({index: 6, term: 3}, 200);
  history.record({index: 7, term: 3}, 250);
  expect(history.endOf(5)).toBe(200);
  expect(history.endOf(6)).toBeUndefined();
  history.record({index: 8, term: 5}, 300);
  expect(history.endOf(5)).toBe(200);
  expect(history.endOf(7)).toBe(300);
});

it('takes no entry of a snapshot for one of an ended term', () => {
  // Guards against a request that seems older than it is, since the snapshot
  // does not tell in which term its decision was saved.
  const history = new TermHistory({index: 4, term: 2});
  history.record({index: 20, term: 3}, 200);
  expect(history.endOf(4)).toBe(200);
  expect(history.endOf(5)).toBeUndefined();
});

import {expect, it} from 'vitest';
import {PublishedPrimaries} from '../../common/published_primaries';
import {makeAssignment} from './lease_fixture';

it('tells of an heir only once it was seen to lead', () => {
  // A promotion is ordered and takes 0.6 s. A proxy that knew the heir sent it
  // reads meanwhile. One ran on a replica that had applied 27 of 100 commits;
  // then the promotion took effect, and the member said behind the read that
  // it led. The dock saw boats that had been booked long ago.
  const board = new PublishedPrimaries();
  board.offer(makeAssignment('m1', 5));
  board.revoke('books');
  const {revision} = board;
  const ordered = {...makeAssignment('m2', 9), pending: true};
  board.offer(ordered);
  expect(board.changedSince(revision)).toEqual([]);
  expect(board.isRevoked('books')).toBe(true);
  board.publish(ordered);
  expect(board.changedSince(revision)).toEqual([ordered]);
});

it('keeps a lead revoked until another decision', () => {
  const board = new PublishedPrimaries();
  board.offer(makeAssignment('m1', 5));
  board.revoke('books');
  board.offer(makeAssignment('m1', 5));
  expect(board.isRevoked('books')).toBe(true);
  board.offer(makeAssignment('m1', 6));
  expect(board.isRevoked('books')).toBe(false);
});

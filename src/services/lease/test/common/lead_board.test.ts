import {expect, it} from 'vitest';
import {LeadBoard} from '../../common/lead_board';
import {makeLead} from './lease_fixture';

it('tells of an heir only once it was seen to lead', () => {
  // A promotion is ordered and takes 0.6 s. A proxy that knew the heir sent it
  // reads meanwhile. One ran on a replica that had applied 27 of 100 commits;
  // then the promotion took effect, and the member said behind the read that
  // it led. The dock saw boats that had been booked long ago.
  const board = new LeadBoard();
  board.name(makeLead('m1', 5));
  board.revoke('books');
  const {revision} = board;
  const ordered = {...makeLead('m2', 9), pending: true};
  board.name(ordered);
  expect(board.since(revision)).toEqual([]);
  expect(board.isRevoked('books')).toBe(true);
  board.confirm(ordered);
  expect(board.since(revision)).toEqual([ordered]);
});

it('keeps a lead revoked until another decision', () => {
  const board = new LeadBoard();
  board.name(makeLead('m1', 5));
  board.revoke('books');
  board.name(makeLead('m1', 5));
  expect(board.isRevoked('books')).toBe(true);
  board.name(makeLead('m1', 6));
  expect(board.isRevoked('books')).toBe(false);
});

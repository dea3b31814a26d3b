import {expect, it} from 'vitest';
import {PublishedPrimaries} from '../../common/published_primaries';
import {makeAssignment} from './lease_fixture';

it('publishes a successor only once its promotion has taken effect', () => {
  // Guards against stale reads of a successor that had not applied all commits
  // yet, and was the primary by the time its role was checked.
  const primaries = new PublishedPrimaries();
  primaries.offer(makeAssignment('m1', 5));
  primaries.revoke('books');
  const {revision} = primaries;
  const pending = {...makeAssignment('m2', 9), pending: true};
  primaries.offer(pending);
  expect(primaries.changedSince(revision)).toEqual([]);
  expect(primaries.isRevoked('books')).toBe(true);
  primaries.publish(pending);
  expect(primaries.changedSince(revision)).toEqual([pending]);
});

it('keeps leases revoked until the next assignment', () => {
  const primaries = new PublishedPrimaries();
  primaries.offer(makeAssignment('m1', 5));
  primaries.revoke('books');
  primaries.offer(makeAssignment('m1', 5));
  expect(primaries.isRevoked('books')).toBe(true);
  primaries.offer(makeAssignment('m1', 6));
  expect(primaries.isRevoked('books')).toBe(false);
});

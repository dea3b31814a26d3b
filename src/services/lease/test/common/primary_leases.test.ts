import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {LEASE_MS, PrimaryLeases} from '../../common/primary_leases';
import {makeAssignment, renew} from './lease_fixture';

function setUp() {
  const clock = new ManualClock();
  const leases = new PrimaryLeases(clock);
  leases.onAssignments([makeAssignment('m1', 7)]);
  return {clock, leases};
}

describe('PrimaryLeases', () => {
  it('counts a lease from its request, however late the reply', () => {
    // Guards against a suspended proxy that reads a late reply and then holds a
    // lease on a primary that was replaced meanwhile.
    const {clock, leases} = setUp();
    const number = leases.beginRenewal();
    clock.advance(LEASE_MS - 1);
    leases.onRenewed(number);
    expect(leases.isHeld('books', 7)).toBe(true);
    clock.advance(1);
    expect(leases.isHeld('books', 7)).toBe(false);
  });

  it('returns a lease when it is revoked, and does not renew it', () => {
    const {leases} = setUp();
    renew(leases);
    const returned = leases.onAssignments([makeAssignment('', 7)]);
    expect(returned).toEqual([{service: 'books', epoch: 7}]);
    renew(leases);
    expect(leases.isHeld('books', 7)).toBe(false);
  });

  it('returns an epoch again that it had returned to an earlier leader', () => {
    // Guards against a new leader that waits in vain for a lease which this
    // proxy returned to the previous leader.
    const {leases} = setUp();
    leases.onAssignments([makeAssignment('', 7)]);
    expect(leases.onAssignments([makeAssignment('m1', 7)])).toEqual([
      {service: 'books', epoch: 7},
    ]);
    renew(leases);
    expect(leases.isHeld('books', 7)).toBe(false);
    leases.onAssignments([makeAssignment('m1', 9)]);
    renew(leases);
    expect(leases.isHeld('books', 9)).toBe(true);
  });

  it('does not carry a lease over to the next epoch', () => {
    const {leases} = setUp();
    renew(leases);
    leases.onAssignments([makeAssignment('m2', 8)]);
    expect(leases.isHeld('books', 7)).toBe(false);
    expect(leases.isHeld('books', 8)).toBe(false);
    renew(leases);
    expect(leases.isHeld('books', 8)).toBe(true);
  });

  it('renews no lease that the current leader has not published', () => {
    // Guards against a renewal by a new leader that arrives before its
    // assignment of another primary.
    const {leases} = setUp();
    leases.onDidDetach();
    renew(leases);
    expect(leases.isHeld('books', 7)).toBe(false);
    leases.onAssignments([makeAssignment('m1', 7)]);
    renew(leases);
    expect(leases.isHeld('books', 7)).toBe(true);
  });

  it('ignores the reply to a request on an earlier stream', () => {
    const {leases} = setUp();
    const number = leases.beginRenewal();
    leases.onDidDetach();
    leases.onRenewed(number);
    expect(leases.isHeld('books', 7)).toBe(false);
  });

  it('resolves waiters on renewal, revocation and timeout', async () => {
    const {leases} = setUp();
    const renewed = leases.waitUntilHeld('books', 7, 1_000);
    renew(leases);
    expect(await renewed).toBe(true);
    const other = setUp().leases;
    const revoked = other.waitUntilHeld('books', 7, 1_000);
    other.onAssignments([makeAssignment('', 7)]);
    expect(await revoked).toBe(false);
    const late = setUp().leases.waitUntilHeld('books', 7, 5);
    expect(await late).toBe(false);
  });
});

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

describe('leases on leads', () => {
  it('last from the question, however late the answer', () => {
    // A proxy asks, freezes, and finds the answer when it wakes up. Counted
    // from the answer, it would rely on a primary that was replaced meanwhile.
    const {clock, leases} = setUp();
    const number = leases.beginRenewal();
    clock.advance(LEASE_MS - 1);
    leases.onRenewed(number);
    expect(leases.isHeld('books', 7)).toBe(true);
    clock.advance(1);
    expect(leases.isHeld('books', 7)).toBe(false);
  });

  it('are returned where control names nobody, and stay so', () => {
    const {leases} = setUp();
    renew(leases);
    const returned = leases.onAssignments([makeAssignment('', 7)]);
    expect(returned).toEqual([{service: 'books', epoch: 7}]);
    renew(leases);
    expect(leases.isHeld('books', 7)).toBe(false);
  });

  it('are not taken up again at an epoch that was returned', () => {
    // Control revokes a lead, its leader changes, and the new one has not
    // heard of that: it names the same epoch. It must learn that this proxy
    // relies no more on it, or it would wait for the proxy in vain.
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

  it('do not pass from one lead to the next', () => {
    const {leases} = setUp();
    renew(leases);
    leases.onAssignments([makeAssignment('m2', 8)]);
    expect(leases.isHeld('books', 7)).toBe(false);
    expect(leases.isHeld('books', 8)).toBe(false);
    renew(leases);
    expect(leases.isHeld('books', 8)).toBe(true);
  });

  it('come by no leader that did not name the lead itself', () => {
    // A proxy follows an old leader and then the next one, under which another
    // member leads. The answer to its question overtakes that news.
    const {leases} = setUp();
    leases.onDidDetach();
    renew(leases);
    expect(leases.isHeld('books', 7)).toBe(false);
    leases.onAssignments([makeAssignment('m1', 7)]);
    renew(leases);
    expect(leases.isHeld('books', 7)).toBe(true);
  });

  it('come by no answer to a question on an earlier stream', () => {
    const {leases} = setUp();
    const number = leases.beginRenewal();
    leases.onDidDetach();
    leases.onRenewed(number);
    expect(leases.isHeld('books', 7)).toBe(false);
  });

  it('answer whoever waits, either way', async () => {
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

import {describe, expect, it} from 'vitest';
import {LEASE_MS} from '../../common/primary_leases';
import {LeaseHolders} from '../../common/lease_holders';

const LONG_AGO = -Infinity;
const OVER = LEASE_MS + 50;

describe('the holders of leases', () => {
  it('are waited for until they return one or it runs out', () => {
    const holders = new LeaseHolders(LONG_AGO);
    holders.onRenewed('p1', 0);
    holders.onRenewed('p2', 500);
    expect(holders.holdersOf('books', 7, 600)).toEqual(['p1', 'p2']);
    holders.onReturned('p2', 'books', 7);
    expect(holders.holdersOf('books', 7, 600)).toEqual(['p1']);
    expect(holders.holdersOf('books', 7, LEASE_MS)).toEqual(['p1']);
    expect(holders.holdersOf('books', 7, OVER)).toEqual([]);
  });

  it('include those of earlier leaders for as long as a lease lasts', () => {
    // A leader grants leases and is lost. The next one has heard of no proxy:
    // with a promotion at once, one that is cut off would go on answering from
    // the old primary.
    const holders = new LeaseHolders(1_000);
    expect(holders.holdersOf('books', 7, 1_000)).not.toEqual([]);
    expect(holders.holdersOf('books', 7, 1_000 + LEASE_MS)).not.toEqual([]);
    expect(holders.holdersOf('books', 7, 1_000 + OVER)).toEqual([]);
  });

  it('hold no lease on a lead that nobody told them of', () => {
    // A new leader finds a lead whose order may not have been carried out, and
    // tells nobody of it. Proxies renew leases on other leads all the time; if
    // they counted, it could never order another member.
    const holders = new LeaseHolders(LONG_AGO);
    holders.onRenewed('p1', 0);
    expect(holders.holdersOf('books', 0, 10)).toEqual([]);
  });

  it('have spent an epoch once one of them returned it', () => {
    const holders = new LeaseHolders(LONG_AGO);
    expect(holders.hasReturned('books', 7)).toBe(false);
    holders.onReturned('p1', 'books', 7);
    expect(holders.hasReturned('books', 7)).toBe(true);
    expect(holders.hasReturned('books', 8)).toBe(false);
    expect(holders.hasReturned('papers', 7)).toBe(false);
  });
});

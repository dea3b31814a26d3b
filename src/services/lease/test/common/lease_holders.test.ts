import {describe, expect, it} from 'vitest';
import {LEASE_MS} from '../../common/primary_leases';
import {LeaseHolders} from '../../common/lease_holders';

const LONG_AGO = -Infinity;
const MAX_LEASE_MS = LEASE_MS + 50;

describe('LeaseHolders', () => {
  it('lists proxies until they return their lease or it expires', () => {
    const holders = new LeaseHolders(LONG_AGO);
    holders.onRenewed('p1', 0);
    holders.onRenewed('p2', 500);
    expect(holders.holdersOf('books', 7, 600)).toEqual(['p1', 'p2']);
    holders.onReturned('p2', 'books', 7);
    expect(holders.holdersOf('books', 7, 600)).toEqual(['p1']);
    expect(holders.holdersOf('books', 7, LEASE_MS)).toEqual(['p1']);
    expect(holders.holdersOf('books', 7, MAX_LEASE_MS)).toEqual([]);
  });

  it('includes holders of earlier leaders until their leases expire', () => {
    // Guards against stale reads: a partitioned proxy that the new leader does
    // not know would still read from the old primary after a promotion.
    const holders = new LeaseHolders(1_000);
    expect(holders.holdersOf('books', 7, 1_000)).not.toEqual([]);
    expect(holders.holdersOf('books', 7, 1_000 + LEASE_MS)).not.toEqual([]);
    expect(holders.holdersOf('books', 7, 1_000 + MAX_LEASE_MS)).toEqual([]);
  });

  it('lists no proxy for an assignment that was never published', () => {
    // Guards against a promotion that waits for ever for proxies which only
    // renew leases on other services.
    const holders = new LeaseHolders(LONG_AGO);
    holders.onRenewed('p1', 0);
    expect(holders.holdersOf('books', 0, 10)).toEqual([]);
  });

  it('reports an epoch as returned once one proxy returned it', () => {
    const holders = new LeaseHolders(LONG_AGO);
    expect(holders.hasReturned('books', 7)).toBe(false);
    holders.onReturned('p1', 'books', 7);
    expect(holders.hasReturned('books', 7)).toBe(true);
    expect(holders.hasReturned('books', 8)).toBe(false);
    expect(holders.hasReturned('papers', 7)).toBe(false);
  });
});

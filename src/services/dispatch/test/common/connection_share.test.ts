import {describe, expect, it} from 'vitest';
import {
  connectionLimit,
  equalShare,
  keepsStandby,
  type ConnectionShare,
} from '../../common/connection_share';

const share = (over: Partial<ConnectionShare> = {}): ConnectionShare => ({
  shared: 14,
  equal: 14 / 9,
  ageMs: 60_000,
  ...over,
});

describe('the connections of nine instances before sixteen', () => {
  it('leave room for the fleet that starts after a loss of power', () => {
    // Load: a calm fleet runs 3 statements on a primary at a time and half a
    // one on a replica. All machines lose power and are back 0.5 s before the
    // members forget the connections of the dead. What was held idle before
    // the loss is what is missing after it.
    const heldByFleet = 9 * connectionLimit(share({ageMs: 100}));
    expect(heldByFleet).toBe(9);
  });

  it('grow to three times the share once the dead are forgotten', () => {
    expect(connectionLimit(share())).toBe(3);
    expect(connectionLimit(share({ageMs: 1_500}))).toBe(3);
  });

  it('are kept idle to primaries and in the own region only', () => {
    const place = {isPrimary: false, sameRegion: false};
    const view = {servesAccounts: false, equal: 1.6, ...place};
    expect(keepsStandby(view)).toBe(false);
    expect(keepsStandby({...view, isPrimary: true})).toBe(true);
    expect(keepsStandby({...view, sameRegion: true})).toBe(true);
  });

  it('are not kept idle for nobody where they belong to accounts', () => {
    const place = {isPrimary: true, sameRegion: true};
    const view = {servesAccounts: true, equal: 1.6, ...place};
    expect(keepsStandby(view)).toBe(false);
  });
});

describe('the connections of more instances than there are', () => {
  it('are never kept idle', () => {
    const place = {isPrimary: true, sameRegion: true};
    const view = {servesAccounts: false, equal: 0.5, ...place};
    expect(keepsStandby(view)).toBe(false);
  });

  it('are one at least while there is work', () => {
    expect(connectionLimit(share({equal: 0.5}))).toBe(3);
    expect(connectionLimit(share({equal: 0.5, ageMs: 0}))).toBe(1);
  });
});

describe('the connections of poolers', () => {
  it('exceed an ample share by half', () => {
    const ample = {shared: 53, equal: 5.3};
    expect(connectionLimit(share(ample))).toBe(7);
    expect(connectionLimit(share({...ample, ageMs: 0}))).toBe(2);
  });
});

describe('the connections of accounts', () => {
  it('are mostly for the instances near the member', () => {
    const sharers = {all: 6, near: 2};
    expect(equalShare(37, sharers, true)).toBeCloseTo(14.8);
    expect(equalShare(37, sharers, false)).toBeCloseTo(1.85);
    const all = 2 * 14.8 + 4 * 1.85;
    expect(all).toBeCloseTo(37);
  });

  it('are shared equally where all are near, or regions do not matter', () => {
    expect(equalShare(36, {all: 6, near: 6}, true)).toBe(6);
    expect(equalShare(36, {all: 6, near: 0}, false)).toBe(6);
  });
});

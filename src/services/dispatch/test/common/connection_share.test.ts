import {describe, expect, it} from 'vitest';
import {
  computeConnectionLimit,
  computeEqualShare,
  keepsIdleConnection,
  type ShareInputs,
} from '../../common/connection_share';

const share = (over: Partial<ShareInputs> = {}): ShareInputs => ({
  usableCount: 14,
  equalShare: 14 / 9,
  ageMs: 60_000,
  ...over,
});

describe('the connections of nine instances before sixteen', () => {
  it('leave room for the fleet that starts after a loss of power', () => {
    // Load: a calm fleet runs 3 statements on a primary at a time and half a
    // one on a replica. All machines lose power and are back 0.5 s before the
    // members forget the connections of the dead. What was held idle before
    // the loss is what is missing after it.
    const heldByFleet = 9 * computeConnectionLimit(share({ageMs: 100}));
    expect(heldByFleet).toBe(9);
  });

  it('grow to three times the share once the dead are forgotten', () => {
    expect(computeConnectionLimit(share())).toBe(3);
    expect(computeConnectionLimit(share({ageMs: 1_500}))).toBe(3);
  });

  it('are kept idle to primaries and in the own region only', () => {
    const place = {isPrimary: false, isSameRegion: false};
    const view = {servesAccounts: false, equalShare: 1.6, ...place};
    expect(keepsIdleConnection(view)).toBe(false);
    expect(keepsIdleConnection({...view, isPrimary: true})).toBe(true);
    expect(keepsIdleConnection({...view, isSameRegion: true})).toBe(true);
  });

  it('are not kept idle for nobody where they belong to accounts', () => {
    const place = {isPrimary: true, isSameRegion: true};
    const view = {servesAccounts: true, equalShare: 1.6, ...place};
    expect(keepsIdleConnection(view)).toBe(false);
  });
});

describe('the connections of more instances than there are', () => {
  it('are never kept idle', () => {
    const place = {isPrimary: true, isSameRegion: true};
    const view = {servesAccounts: false, equalShare: 0.5, ...place};
    expect(keepsIdleConnection(view)).toBe(false);
  });

  it('are one at least while there is work', () => {
    expect(computeConnectionLimit(share({equalShare: 0.5}))).toBe(3);
    expect(computeConnectionLimit(share({equalShare: 0.5, ageMs: 0}))).toBe(1);
  });
});

describe('the connections of poolers', () => {
  it('exceed an ample share by half', () => {
    const ample = {usableCount: 53, equalShare: 5.3};
    expect(computeConnectionLimit(share(ample))).toBe(7);
    expect(computeConnectionLimit(share({...ample, ageMs: 0}))).toBe(2);
  });
});

describe('the connections of accounts', () => {
  it('are mostly for the instances near the member', () => {
    const sharers = {instanceCount: 6, sameRegionCount: 2};
    expect(computeEqualShare(37, sharers, true)).toBeCloseTo(14.8);
    expect(computeEqualShare(37, sharers, false)).toBeCloseTo(1.85);
    const all = 2 * 14.8 + 4 * 1.85;
    expect(all).toBeCloseTo(37);
  });

  it('are shared equally where all are near, or regions do not matter', () => {
    expect(
      computeEqualShare(36, {instanceCount: 6, sameRegionCount: 6}, true),
    ).toBe(6);
    expect(
      computeEqualShare(36, {instanceCount: 6, sameRegionCount: 0}, false),
    ).toBe(6);
  });
});

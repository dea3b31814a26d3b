import {describe, expect, it} from 'vitest';
import {
  computeConnectionLimit,
  computeEqualShare,
  keepsIdleConnection,
  type ShareInputs,
} from '../../common/connection_share';

const share = (overrides: Partial<ShareInputs> = {}): ShareInputs => ({
  usableCount: 14,
  equalShare: 14 / 9,
  ageMs: 60_000,
  ...overrides,
});

describe('with more connections than instances', () => {
  it('limits connections after a start', () => {
    // After a common power loss, the members still count the connections of the
    // crashed processes; the new ones must fit in beside them.
    const fleetLimit = 9 * computeConnectionLimit(share({ageMs: 100}));
    expect(fleetLimit).toBe(9);
  });

  it('allows three times the share later', () => {
    expect(computeConnectionLimit(share())).toBe(3);
    expect(computeConnectionLimit(share({ageMs: 1_500}))).toBe(3);
  });

  it('keeps idle connections to primaries and in the same region only', () => {
    const location = {isPrimary: false, isSameRegion: false};
    const view = {servesAccounts: false, equalShare: 1.6, ...location};
    expect(keepsIdleConnection(view)).toBe(false);
    expect(keepsIdleConnection({...view, isPrimary: true})).toBe(true);
    expect(keepsIdleConnection({...view, isSameRegion: true})).toBe(true);
  });

  it('keeps no idle connections if they belong to accounts', () => {
    const location = {isPrimary: true, isSameRegion: true};
    const view = {servesAccounts: true, equalShare: 1.6, ...location};
    expect(keepsIdleConnection(view)).toBe(false);
  });
});

describe('with more instances than connections', () => {
  it('keeps no idle connections', () => {
    const location = {isPrimary: true, isSameRegion: true};
    const view = {servesAccounts: false, equalShare: 0.5, ...location};
    expect(keepsIdleConnection(view)).toBe(false);
  });

  it('allows at least one connection', () => {
    expect(computeConnectionLimit(share({equalShare: 0.5}))).toBe(3);
    expect(computeConnectionLimit(share({equalShare: 0.5, ageMs: 0}))).toBe(1);
  });
});

describe('with an ample share', () => {
  it('allows half more than the share', () => {
    const ample = {usableCount: 53, equalShare: 5.3};
    expect(computeConnectionLimit(share(ample))).toBe(7);
    expect(computeConnectionLimit(share({...ample, ageMs: 0}))).toBe(2);
  });
});

describe('computeEqualShare', () => {
  it('gives most connections to instances in the same region', () => {
    const peers = {instanceCount: 6, sameRegionCount: 2};
    expect(computeEqualShare(37, peers, true)).toBeCloseTo(14.8);
    expect(computeEqualShare(37, peers, false)).toBeCloseTo(1.85);
    const total = 2 * 14.8 + 4 * 1.85;
    expect(total).toBeCloseTo(37);
  });

  it('divides equally if all share a region or regions are ignored', () => {
    expect(
      computeEqualShare(36, {instanceCount: 6, sameRegionCount: 6}, true),
    ).toBe(6);
    expect(
      computeEqualShare(36, {instanceCount: 6, sameRegionCount: 0}, false),
    ).toBe(6);
  });
});

import {describe, expect, it} from 'vitest';
import {
  assessPrimary,
  type PrimaryObservations,
} from '../../common/assess_primary';

const view = (
  over: Partial<PrimaryObservations> = {},
): PrimaryObservations => ({
  silentMs: 0,
  isRefusing: false,
  draining: false,
  isReplica: false,
  proxyCount: 6,
  reportCount: 0,
  reportedMs: 0,
  isRevoked: false,
  hasStayingReplica: true,
  ...over,
});

const isReplaced = (over: Partial<PrimaryObservations>) => {
  return assessPrimary(view(over)).kind === 'replace';
};

describe('assessPrimary', () => {
  it('replaces a primary that is silent for control and the proxies', () => {
    expect(isReplaced({silentMs: 800, reportCount: 4})).toBe(true);
  });

  it('keeps a primary that only control cannot reach', () => {
    // Guards against a needless interruption of writes during a partition
    // between control and the primary.
    expect(isReplaced({silentMs: 5_000, reportCount: 0})).toBe(false);
  });

  it('replaces a primary that proxies have not reached for some time', () => {
    const cut = {reportCount: 3, reportedMs: 200};
    expect(isReplaced(cut)).toBe(false);
    expect(isReplaced({...cut, reportedMs: 1_200})).toBe(true);
  });

  it('keeps a primary that a minority of proxies cannot reach', () => {
    expect(isReplaced({reportCount: 2, reportedMs: 9_000})).toBe(false);
  });

  it('replaces a primary that is drained or whose process has exited', () => {
    expect(isReplaced({draining: true})).toBe(true);
    const gone = {isRefusing: true, silentMs: 200, reportCount: 6};
    expect(isReplaced(gone)).toBe(true);
  });

  it('keeps a primary that it reaches if only leaving members are left', () => {
    // Guards against changes back and forth between members that leave, which
    // take the primary from the proxies that it serves.
    const leaving = {hasStayingReplica: false};
    const cut = {reportCount: 4, reportedMs: 9_000};
    expect(isReplaced({...cut, ...leaving})).toBe(false);
    expect(isReplaced({draining: true, ...leaving})).toBe(false);
    const lost = {silentMs: 800, reportCount: 4};
    expect(isReplaced({...lost, ...leaving})).toBe(true);
  });

  it('replaces a silent primary whose leases were revoked', () => {
    // Guards against a service without a primary: after the first search found
    // no successor, proxies without a lease send no more failure reports.
    const revoked = {isRevoked: true, reportCount: 0};
    expect(isReplaced({...revoked, silentMs: 1_400})).toBe(true);
    const gone = {isRefusing: true, silentMs: 200};
    expect(isReplaced({...revoked, ...gone})).toBe(true);
  });

  it('keeps a primary that replies again after its leases were revoked', () => {
    expect(isReplaced({isRevoked: true, silentMs: 100})).toBe(false);
  });
});

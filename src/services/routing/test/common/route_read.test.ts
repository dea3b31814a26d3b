import {describe, expect, it} from 'vitest';
import {instanceId} from '../../../../base/common/ids';
import {
  routeRead,
  type ReadCandidate,
  type ReadRequirement,
} from '../../common/route_read';

function requirement(
  overrides: Partial<ReadRequirement> = {},
): ReadRequirement {
  return {
    maxAgeMs: 1_000,
    minOffset: 10,
    allowsOlder: false,
    waitedMs: 0,
    ...overrides,
  };
}

function replica(
  name: string,
  overrides: Partial<ReadCandidate> = {},
): ReadCandidate {
  return {
    instance: instanceId(name),
    isPrimary: false,
    isUsable: true,
    appliedOffset: 10,
    ageMs: 50,
    freeCount: 1,
    runningCount: 0,
    latencyMs: 1,
    lagMs: 0,
    ...overrides,
  };
}

const primary = (overrides: Partial<ReadCandidate> = {}) =>
  replica('primary', {isPrimary: true, ageMs: 0, freeCount: 2, ...overrides});

describe('routeRead', () => {
  it('chooses the nearest replica that is fresh enough', () => {
    const near = replica('near', {latencyMs: 0.5});
    const far = replica('far', {latencyMs: 20});
    const decision = routeRead(requirement(), [far, near, primary()]);
    expect(decision).toMatchObject({kind: 'go', instance: 'near'});
  });

  // Otherwise a session could miss its own last write.
  it('never chooses a replica that lacks the session’s last write', () => {
    const behind = replica('behind', {appliedOffset: 9, lagMs: 500});
    const decision = routeRead(requirement(), [behind, primary()]);
    expect(decision).toMatchObject({kind: 'go', instance: 'primary'});
  });

  it('never chooses a replica past the maximum age', () => {
    const stale = replica('stale', {ageMs: 1_001, lagMs: 1_000});
    const decision = routeRead(requirement(), [stale, primary()]);
    expect(decision).toMatchObject({kind: 'go', instance: 'primary'});
  });

  it('waits briefly for a replica that is about to catch up', () => {
    const soon = replica('soon', {appliedOffset: 9, lagMs: 4});
    const now = routeRead(requirement(), [soon, primary()]);
    expect(now).toMatchObject({reason: 'replica about to catch up'});
    const later = routeRead(requirement({waitedMs: 20}), [soon, primary()]);
    expect(later).toMatchObject({instance: 'primary'});
  });

  it('waits while the session’s position is unknown', () => {
    const decision = routeRead(requirement({minOffset: undefined}), [
      replica('a'),
      primary(),
    ]);
    expect(decision.reason).toBe('position at arrival unknown');
  });

  it('uses the primary for busy replicas only with spare connections', () => {
    const busy = replica('busy', {freeCount: 0});
    const waited = requirement({waitedMs: 30});
    const withSpare = routeRead(waited, [busy, primary({freeCount: 2})]);
    expect(withSpare).toMatchObject({instance: 'primary'});
    const withoutSpare = routeRead(waited, [busy, primary({freeCount: 1})]);
    expect(withoutSpare).toMatchObject({reason: 'replica busy'});
  });

  // Without a primary, and with stale replicas only. The session must see its
  // own writes even then.
  it('returns stale data with a notice if the class allows it', () => {
    const old = replica('old', {ageMs: 5_000, lagMs: 5_000});
    const lacking = replica('lacking', {appliedOffset: 3, lagMs: 5_000});
    const allowed = requirement({allowsOlder: true, waitedMs: 150});
    expect(routeRead(allowed, [old, lacking])).toMatchObject({
      instance: 'old',
      reason: 'older replica with notice',
    });
    expect(routeRead(allowed, [lacking]).kind).toBe('wait');
    expect(routeRead(requirement({waitedMs: 150}), [old]).kind).toBe('wait');
  });
});

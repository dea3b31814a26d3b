import {describe, expect, it} from 'vitest';
import {instanceId} from '../../../../base/common/ids';
import {
  routeRead,
  type ReadCandidate,
  type ReadRequirement,
} from '../../common/route_read';

function demand(parts: Partial<ReadRequirement> = {}): ReadRequirement {
  return {
    maxAgeMs: 1_000,
    minOffset: 10,
    allowsOlder: false,
    waitedMs: 0,
    ...parts,
  };
}

function replica(
  name: string,
  parts: Partial<ReadCandidate> = {},
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
    ...parts,
  };
}

const primary = (parts: Partial<ReadCandidate> = {}) =>
  replica('primary', {isPrimary: true, ageMs: 0, freeCount: 2, ...parts});

describe('where a read goes', () => {
  it('takes the nearest replica that is fresh enough', () => {
    const near = replica('near', {latencyMs: 0.5});
    const far = replica('far', {latencyMs: 20});
    const decision = routeRead(demand(), [far, near, primary()]);
    expect(decision).toMatchObject({kind: 'go', instance: 'near'});
  });

  // A supervisor signs off and reads the list at once. The nearest replica is
  // behind: the sign-off seems lost.
  it('never takes a replica that lacks the session’s own write', () => {
    const behind = replica('behind', {appliedOffset: 9, lagMs: 500});
    const decision = routeRead(demand(), [behind, primary()]);
    expect(decision).toMatchObject({kind: 'go', instance: 'primary'});
  });

  it('never takes a replica past the accepted age', () => {
    const stale = replica('stale', {ageMs: 1_001, lagMs: 1_000});
    const decision = routeRead(demand(), [stale, primary()]);
    expect(decision).toMatchObject({kind: 'go', instance: 'primary'});
  });

  it('waits a moment for a replica that is about to catch up', () => {
    const soon = replica('soon', {appliedOffset: 9, lagMs: 4});
    const now = routeRead(demand(), [soon, primary()]);
    expect(now).toMatchObject({reason: 'replica about to catch up'});
    const later = routeRead(demand({waitedMs: 20}), [soon, primary()]);
    expect(later).toMatchObject({instance: 'primary'});
  });

  it('waits where nothing is known of the session’s past', () => {
    const decision = routeRead(demand({minOffset: undefined}), [
      replica('a'),
      primary(),
    ]);
    expect(decision.reason).toBe('position at arrival unknown');
  });

  it('lets the primary help out only with connections to spare', () => {
    const busy = replica('busy', {freeCount: 0});
    const waited = demand({waitedMs: 30});
    const spare = routeRead(waited, [busy, primary({freeCount: 2})]);
    expect(spare).toMatchObject({instance: 'primary'});
    const scarce = routeRead(waited, [busy, primary({freeCount: 1})]);
    expect(scarce).toMatchObject({reason: 'replica busy'});
  });

  // No primary and every replica is too old: a board meeting would rather see
  // older figures with a notice than wait; but never without its own writes.
  it('gives older figures with a notice where the class wants them', () => {
    const old = replica('old', {ageMs: 5_000, lagMs: 5_000});
    const lacking = replica('lacking', {appliedOffset: 3, lagMs: 5_000});
    const wants = demand({allowsOlder: true, waitedMs: 150});
    expect(routeRead(wants, [old, lacking])).toMatchObject({
      instance: 'old',
      reason: 'older replica with notice',
    });
    expect(routeRead(wants, [lacking]).kind).toBe('wait');
    expect(routeRead(demand({waitedMs: 150}), [old]).kind).toBe('wait');
  });
});

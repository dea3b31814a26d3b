import {describe, expect, it} from 'vitest';
import {chooseReadMember, type MemberView} from '../../common/choose_member';

const member = (overrides: Partial<MemberView> = {}): MemberView => ({
  instance: 'a',
  isPrimary: false,
  isDraining: false,
  isFailing: false,
  runningCount: 0,
  slots: 2,
  latencyMs: 20,
  isAvailable: true,
  needsConnect: false,
  lagMs: 0,
  isSameRegion: true,
  ...overrides,
});

const PRIMARY = member({instance: 'p', isPrimary: true});
const REQUIREMENT = {
  minPosition: {term: 1, offset: 5},
  maxLagMs: 1_500,
  triedInstances: new Set<string>(),
};

const choose = (members: MemberView[], requirement = REQUIREMENT) => {
  return chooseReadMember(members, requirement)?.instance;
};

describe('chooseReadMember', () => {
  it('prefers a replica in the same region to the primary', () => {
    expect(choose([PRIMARY, member()])).toBe('a');
  });

  it('prefers an idle primary to a replica in another region', () => {
    expect(choose([PRIMARY, member({isSameRegion: false})])).toBe('p');
  });

  it('prefers a replica in another region to a loaded primary', () => {
    // Its slots are full of writes; the replica replies sooner despite the
    // round trip.
    const loaded = {...PRIMARY, runningCount: 5, latencyMs: 60};
    expect(choose([loaded, member({isSameRegion: false})])).toBe('a');
  });

  it('chooses the primary if the minimum position is unknown', () => {
    const requirement = {...REQUIREMENT, minPosition: undefined};
    expect(chooseReadMember([PRIMARY, member()], requirement)?.instance).toBe(
      'p',
    );
  });

  it('excludes replicas that lag too far behind', () => {
    // A read that a lagging replica rejects has used a slot there for nothing.
    const members = [PRIMARY, member({lagMs: 2_000})];
    expect(choose(members)).toBe('p');
    expect(choose(members, {...REQUIREMENT, maxLagMs: 2_500})).toBe('a');
  });

  it('excludes members that drain, fail, are busy or were tried', () => {
    const triedInstances = new Set(['c']);
    const members = [
      member({instance: 'a', isDraining: true}),
      member({instance: 'b', isFailing: true}),
      member({instance: 'c'}),
      member({instance: 'd', isAvailable: false}),
    ];
    expect(choose(members, {...REQUIREMENT, triedInstances})).toBeUndefined();
  });
});

import {describe, expect, it} from 'vitest';
import {chooseReadMember, type MemberView} from '../../common/choose_member';

const member = (over: Partial<MemberView> = {}): MemberView => ({
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
  ...over,
});

const PRIMARY = member({instance: 'p', isPrimary: true});
const NEED = {
  minPosition: {term: 1, offset: 5},
  maxLagMs: 1_500,
  triedInstances: new Set<string>(),
};

const chosen = (members: MemberView[], need = NEED) => {
  return chooseReadMember(members, need)?.instance;
};

describe('the choice of a member for a read', () => {
  it('spares the primary while a near replica is as quick', () => {
    expect(chosen([PRIMARY, member()])).toBe('a');
  });

  it('takes the near primary rather than a far replica, at rest', () => {
    expect(chosen([PRIMARY, member({isSameRegion: false})])).toBe('p');
  });

  it('leaves the near primary under load', () => {
    // The heaviest hours: the near primary's slots are full with writes. A far
    // replica costs a way between regions and answers sooner all the same.
    const busy = {...PRIMARY, runningCount: 5, latencyMs: 60};
    expect(chosen([busy, member({isSameRegion: false})])).toBe('a');
  });

  it('asks only the primary where no position says what is new enough', () => {
    const need = {...NEED, minPosition: undefined};
    expect(chooseReadMember([PRIMARY, member()], need)?.instance).toBe('p');
  });

  it('spares replicas that were seen too far behind', () => {
    // Replicas fall 2 s behind for some seconds. Each read that asks one is
    // turned away and takes a turn of a slot; on a calm day 2,254 of 9,586
    // statements went that way, and reads were refused for want of time.
    const members = [PRIMARY, member({lagMs: 2_000})];
    expect(chosen(members)).toBe('p');
    expect(chosen(members, {...NEED, maxLagMs: 2_500})).toBe('a');
  });

  it('never takes a member that leaves, fails or was tried', () => {
    const passed = new Set(['c']);
    const members = [
      member({instance: 'a', isDraining: true}),
      member({instance: 'b', isFailing: true}),
      member({instance: 'c'}),
      member({instance: 'd', isAvailable: false}),
    ];
    expect(chosen(members, {...NEED, triedInstances: passed})).toBeUndefined();
  });
});

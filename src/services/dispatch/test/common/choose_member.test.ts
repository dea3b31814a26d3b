import {describe, expect, it} from 'vitest';
import {chooseForRead, type MemberView} from '../../common/choose_member';

const member = (over: Partial<MemberView> = {}): MemberView => ({
  instance: 'a',
  isPrimary: false,
  draining: false,
  avoided: false,
  running: 0,
  slots: 2,
  latencyMs: 20,
  hasRoom: true,
  held: undefined,
  sameRegion: true,
  ...over,
});

const PRIMARY = member({instance: 'p', isPrimary: true});
const NEED = {floor: {term: 1, offset: 5}, passed: new Set<string>()};

const chosen = (members: MemberView[], need = NEED) => {
  return chooseForRead(members, need)?.instance;
};

describe('the choice of a member for a read', () => {
  it('spares the primary while a near replica is as quick', () => {
    expect(chosen([PRIMARY, member()])).toBe('a');
  });

  it('takes the near primary rather than a far replica, at rest', () => {
    expect(chosen([PRIMARY, member({sameRegion: false})])).toBe('p');
  });

  it('leaves the near primary under load', () => {
    // The heaviest hours: the near primary's slots are full with writes. A far
    // replica costs a way between regions and answers sooner all the same.
    const busy = {...PRIMARY, running: 5, latencyMs: 60};
    expect(chosen([busy, member({sameRegion: false})])).toBe('a');
  });

  it('asks only the primary where no position says what is new enough', () => {
    const need = {floor: undefined, passed: new Set<string>()};
    expect(chooseForRead([PRIMARY, member()], need)?.instance).toBe('p');
  });

  it('never takes a member that leaves, fails or was tried', () => {
    const passed = new Set(['c']);
    const members = [
      member({instance: 'a', draining: true}),
      member({instance: 'b', avoided: true}),
      member({instance: 'c'}),
      member({instance: 'd', hasRoom: false}),
    ];
    expect(chosen(members, {...NEED, passed})).toBeUndefined();
  });
});

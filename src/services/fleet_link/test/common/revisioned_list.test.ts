import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {MemberChanges, type Member} from '../../../../schema/generated/fleet';
import {MEMBER_COMPARER} from '../../common/fleet_lists';
import {applyListDelta, RevisionedList} from '../../common/revisioned_list';

function makeMember(instance: string, over: Partial<Member> = {}): Member {
  return {
    instance,
    service: 'books',
    address: `10.1.2.3:${instance.length}`,
    site: 'site-a',
    slots: 3,
    draining: false,
    born: 0,
    recovering: false,
    role: 2,
    ...over,
  };
}

const byInstance = (list: readonly Member[]) => {
  return new Map(list.map(member => [member.instance, member]));
};

/** A list after random additions, removals and changes. */
function change(list: readonly Member[], random: SeededRandom): Member[] {
  const next = byInstance(list);
  for (let count = random.integer(0, 4); count > 0; count--) {
    const name = `m${random.integer(0, 30)}`;
    if (random.integer(0, 3) === 0) next.delete(name);
    else next.set(name, makeMember(name, {born: random.integer(0, 3)}));
  }
  return [...next.values()];
}

describe('deltas of a list', () => {
  it('bring a reader at any revision up to date', () => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = new SeededRandom(seed);
      const revisionedList = new RevisionedList(MEMBER_COMPARER);
      const readers = Array.from({length: 4}, () => {
        return {revision: 0, list: [] as Member[]};
      });
      let list: Member[] = [];
      for (let step = 0; step < 30; step++) {
        list = change(list, random);
        revisionedList.update(list);
        const reader = readers[random.integer(0, 3)]!;
        const delta = revisionedList.deltaSince(reader.revision);
        reader.list = applyListDelta(reader.list, delta, MEMBER_COMPARER.keyOf);
        reader.revision = revisionedList.revision;
        expect(byInstance(reader.list), `seed ${seed}`).toEqual(
          byInstance(list),
        );
      }
    }
  });

  it('are complete for a reader that missed too many removals', () => {
    const revisionedList = new RevisionedList(MEMBER_COMPARER);
    revisionedList.update([makeMember('stays'), makeMember('goes')]);
    const {revision} = revisionedList;
    for (let at = 0; at < 1_100; at++) {
      revisionedList.update([makeMember('stays'), makeMember(`passing-${at}`)]);
    }
    const delta = revisionedList.deltaSince(revision);
    expect(delta.complete).toBe(true);
    const list = applyListDelta(
      [makeMember('goes')],
      delta,
      MEMBER_COMPARER.keyOf,
    );
    expect(list.map(({instance}) => instance)).not.toContain('goes');
  });

  it('grow with the changes and not with the list', () => {
    // Load: one of 1,000 members is replaced. The whole list would fill the
    // links to the proxies.
    const members = Array.from({length: 1_000}, (...[, at]) => {
      return makeMember(`member-${at}`);
    });
    const revisionedList = new RevisionedList(MEMBER_COMPARER);
    revisionedList.update(members);
    const {revision} = revisionedList;
    revisionedList.update([...members.slice(1), makeMember('member-new')]);
    const {complete, changed, gone} = revisionedList.deltaSince(revision);
    const value = {complete, changed: [...changed], gone: [...gone]};
    expect(MemberChanges.encode(value).finish().length).toBeLessThan(120);
  });
});

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

const byName = (list: readonly Member[]) => {
  return new Map(list.map(member => [member.instance, member]));
};

/** A list after some members came, went or changed. */
function change(list: readonly Member[], random: SeededRandom): Member[] {
  const next = byName(list);
  for (let count = random.integer(0, 4); count > 0; count--) {
    const name = `m${random.integer(0, 30)}`;
    if (random.integer(0, 3) === 0) next.delete(name);
    else next.set(name, makeMember(name, {born: random.integer(0, 3)}));
  }
  return [...next.values()];
}

describe('changes of a list', () => {
  it('bring every reader to the list, whatever it missed', () => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = new SeededRandom(seed);
      const changes = new RevisionedList(MEMBER_COMPARER);
      const readers = Array.from({length: 4}, () => {
        return {revision: 0, list: [] as Member[]};
      });
      let list: Member[] = [];
      for (let step = 0; step < 30; step++) {
        list = change(list, random);
        changes.update(list);
        const reader = readers[random.integer(0, 3)]!;
        const delta = changes.deltaSince(reader.revision);
        reader.list = applyListDelta(reader.list, delta, MEMBER_COMPARER.keyOf);
        reader.revision = changes.revision;
        expect(byName(reader.list), `seed ${seed}`).toEqual(byName(list));
      }
    }
  });

  it('are told whole to a reader that missed too many that went', () => {
    const changes = new RevisionedList(MEMBER_COMPARER);
    changes.update([makeMember('stays'), makeMember('goes')]);
    const {revision} = changes;
    for (let at = 0; at < 1_100; at++) {
      changes.update([makeMember('stays'), makeMember(`passing-${at}`)]);
    }
    const delta = changes.deltaSince(revision);
    expect(delta.complete).toBe(true);
    const list = applyListDelta(
      [makeMember('goes')],
      delta,
      MEMBER_COMPARER.keyOf,
    );
    expect(list.map(({instance}) => instance)).not.toContain('goes');
  });

  it('cost what changed, not what there is', () => {
    // Load: 1,000 members before 300 proxies, one member replaced a second. Each
    // proxy was told all of them, 60 KB, over links of 2 Mbit/s.
    const members = Array.from({length: 1_000}, (...[, at]) => {
      return makeMember(`member-${at}`);
    });
    const changes = new RevisionedList(MEMBER_COMPARER);
    changes.update(members);
    const {revision} = changes;
    changes.update([...members.slice(1), makeMember('member-new')]);
    const {complete, changed, gone} = changes.deltaSince(revision);
    const value = {complete, changed: [...changed], gone: [...gone]};
    expect(MemberChanges.encode(value).finish().length).toBeLessThan(120);
  });
});

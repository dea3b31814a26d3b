import {describe, expect, it} from 'vitest';
import {EntriesByService} from '../../common/entries_by_service';
import {POOLER_COMPARER} from '../../common/fleet_lists';

const makeEntry = (service: string, instance: string, address = '') => {
  return {service, instance, address, site: 'a'};
};

const LIST = [
  makeEntry('s1', 'p1'),
  makeEntry('s2', 'p1'),
  makeEntry('s1', 'p2'),
];

describe('EntriesByService', () => {
  it('groups the list in its order', () => {
    const entries = new EntriesByService(POOLER_COMPARER);
    expect([...entries.update(LIST)]).toEqual(['s1', 's2']);
    expect(entries.services).toEqual(['s1', 's2']);
    expect(entries.get('s1').map(({instance}) => instance)).toEqual([
      'p1',
      'p2',
    ]);
    expect(entries.get('s3')).toEqual([]);
  });

  it('returns the services whose entries changed', () => {
    const entries = new EntriesByService(POOLER_COMPARER);
    entries.update(LIST);
    const copies = LIST.map(entry => ({...entry}));
    expect([...entries.update(copies)]).toEqual([]);
    expect([...entries.update([...LIST, makeEntry('s2', 'p3')])]).toEqual([
      's2',
    ]);
    expect([...entries.update(LIST.slice(0, 2))]).toEqual(['s1', 's2']);
    expect([...entries.update(LIST.slice(0, 1))]).toEqual(['s2']);
    const moved = makeEntry('s1', 'p1', 'elsewhere');
    expect([...entries.update([moved])]).toEqual(['s1']);
  });
});

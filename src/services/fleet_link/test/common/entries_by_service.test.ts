import {describe, expect, it} from 'vitest';
import {EntriesByService} from '../../common/entries_by_service';
import {POOLERS} from '../../common/fleet_lists';

const makeEntry = (service: string, instance: string, address = '') => {
  return {service, instance, address, site: 'a'};
};

const LIST = [
  makeEntry('s1', 'p1'),
  makeEntry('s2', 'p1'),
  makeEntry('s1', 'p2'),
];

describe('entries by service', () => {
  it('are the list, in its order', () => {
    const entries = new EntriesByService(POOLERS);
    expect([...entries.take(LIST)]).toEqual(['s1', 's2']);
    expect(entries.services).toEqual(['s1', 's2']);
    expect(entries.of('s1').map(({instance}) => instance)).toEqual([
      'p1',
      'p2',
    ]);
    expect(entries.of('s3')).toEqual([]);
  });

  it('have changed where one came, went, moved or has other content', () => {
    const entries = new EntriesByService(POOLERS);
    entries.take(LIST);
    const copies = LIST.map(entry => ({...entry}));
    expect([...entries.take(copies)]).toEqual([]);
    expect([...entries.take([...LIST, makeEntry('s2', 'p3')])]).toEqual(['s2']);
    expect([...entries.take(LIST.slice(0, 2))]).toEqual(['s1', 's2']);
    expect([...entries.take(LIST.slice(0, 1))]).toEqual(['s2']);
    const moved = makeEntry('s1', 'p1', 'elsewhere');
    expect([...entries.take([moved])]).toEqual(['s1']);
  });
});

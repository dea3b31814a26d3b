import {describe, expect, it} from 'vitest';
import {
  chooseCounter,
  rankCounters,
  type CounterState,
} from '../../common/counter_choice';
import {makeCounter} from './permit_counting_fakes';

const regionOf = (site: string) => site.split('-')[0]!;
const here = {site: 'north-1', regionOf};

const COUNTERS = [
  makeCounter('n1', {site: 'north-1'}),
  makeCounter('n2', {site: 'north-2'}),
  makeCounter('s1', {site: 'south-1'}),
  makeCounter('s2', {site: 'south-2'}),
];

const rank = (account: string, site = here.site) => {
  const ranked = rankCounters(COUNTERS, account, {site, regionOf});
  return ranked.map(({instance}) => instance);
};

describe('the ranking of counters', () => {
  it('starts with the counters of the region, equally for all proxies', () => {
    for (const account of ['fern', 'oak', 'elm']) {
      const ranked = rank(account);
      expect(ranked.slice(0, 2).sort()).toEqual(['n1', 'n2']);
      expect(rank(account, 'north-2')).toEqual(ranked);
      expect(rank(account, 'south-1').slice(0, 2).sort()).toEqual(['s1', 's2']);
    }
  });

  it('distributes accounts among the counters of a region', () => {
    const first = Array.from({length: 200}, (...[, at]) => rank(`a-${at}`)[0]);
    const share = first.filter(name => name === 'n1').length / first.length;
    expect(share).toBeGreaterThan(0.25);
    expect(share).toBeLessThan(0.75);
  });

  it('ends with retiring counters', () => {
    const retiring = makeCounter('n3', {site: 'north-1', retiring: true});
    const ranked = rankCounters([retiring, ...COUNTERS], 'fern', here);
    expect(ranked.at(-1)).toBe(retiring);
  });
});

describe('the choice of a counter', () => {
  const choose = (
    states: Record<string, CounterState>,
    excluded: string[] = [],
    canWaitForLink = true,
  ) => {
    const read: string[] = [];
    const chosen = chooseCounter(
      COUNTERS,
      ({instance}) => {
        read.push(instance);
        return states[instance] ?? 'closed';
      },
      {excluded: new Set(excluded), canWaitForLink},
    );
    const name = typeof chosen === 'string' ? chosen : chosen?.instance;
    return {chosen: name, read};
  };

  it('skips counters that are closed, busy or excluded', () => {
    expect(choose({n1: 'busy', n2: 'ready'}).chosen).toBe('n2');
    expect(choose({n1: 'closed', s1: 'ready'}).chosen).toBe('s1');
    expect(choose({n1: 'local', n2: 'ready'}, ['n1']).chosen).toBe('n2');
    expect(choose({}).chosen).toBeUndefined();
    expect(choose({n1: 'closed', s2: 'busy'}).chosen).toBe('busy');
    expect(choose({n1: 'busy'}, ['n1']).chosen).toBeUndefined();
  });

  it('reads no more states than needed, so that no link is opened', () => {
    expect(choose({n1: 'ready', s1: 'ready'}).read).toEqual(['n1']);
  });

  it('waits for a link of its region that is being opened', () => {
    const states = {n1: 'connecting', s1: 'ready'} as const;
    expect(choose(states).chosen).toBe('connecting');
    expect(choose(states, [], false).chosen).toBe('s1');
  });
});

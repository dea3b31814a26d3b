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

describe('the order of counters', () => {
  it('begins with those of the region, and the same one for all in it', () => {
    for (const account of ['fern', 'oak', 'elm']) {
      const ranked = rank(account);
      expect(ranked.slice(0, 2).sort()).toEqual(['n1', 'n2']);
      expect(rank(account, 'north-2')).toEqual(ranked);
      expect(rank(account, 'south-1').slice(0, 2).sort()).toEqual(['s1', 's2']);
    }
  });

  it('divides accounts among the counters of a region', () => {
    const firsts = Array.from({length: 200}, (...[, at]) => rank(`a-${at}`)[0]);
    const share = firsts.filter(name => name === 'n1').length / firsts.length;
    expect(share).toBeGreaterThan(0.25);
    expect(share).toBeLessThan(0.75);
  });

  it('ends with those that are retiring', () => {
    const leaving = makeCounter('n3', {site: 'north-1', retiring: true});
    const ranked = rankCounters([leaving, ...COUNTERS], 'fern', here);
    expect(ranked.at(-1)).toBe(leaving);
  });
});

describe('the choice of a counter', () => {
  const choose = (
    states: Record<string, CounterState>,
    passed: string[] = [],
    mayWait = true,
  ) => {
    const looked: string[] = [];
    const chosen = chooseCounter(
      COUNTERS,
      ({instance}) => {
        looked.push(instance);
        return states[instance] ?? 'closed';
      },
      {excluded: new Set(passed), canWaitForLink: mayWait},
    );
    const name = chosen === 'soon' ? chosen : chosen?.instance;
    return {chosen: name, looked};
  };

  it('passes over those that are lost, silent, or gave no decision', () => {
    expect(choose({n1: 'silent', n2: 'ready'}).chosen).toBe('n2');
    expect(choose({n1: 'closed', s1: 'ready'}).chosen).toBe('s1');
    expect(choose({n1: 'here', n2: 'ready'}, ['n1']).chosen).toBe('n2');
    expect(choose({}).chosen).toBeUndefined();
  });

  it('looks no further than it has to, so that no link is opened', () => {
    expect(choose({n1: 'ready', s1: 'ready'}).looked).toEqual(['n1']);
  });

  it('waits a moment for a link of its region that is being opened', () => {
    const states = {n1: 'connecting', s1: 'ready'} as const;
    expect(choose(states).chosen).toBe('soon');
    expect(choose(states, [], false).chosen).toBe('s1');
  });
});

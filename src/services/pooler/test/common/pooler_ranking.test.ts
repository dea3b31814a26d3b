import {describe, expect, it} from 'vitest';
import {memberUser} from '../../../../base/common/ids';
import type {PoolerEntry} from '../../../../schema/generated/fleet';
import {
  NearestPoolerRanking,
  AccountAffinityRanking,
  type PoolerRequirements,
  type ProxyLocation,
} from '../../common/pooler_ranking';

/** Sites are named by their region and a number. */
const SITES = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];

const POOLERS: readonly PoolerEntry[] = SITES.map(site => ({
  service: 's0',
  instance: `p-${site}`,
  address: `${site}:1`,
  site,
}));

function makePlace(site: string, primaryRegion?: string): ProxyLocation {
  return {
    instance: `proxy-${site}`,
    site,
    regionOf: (other: string) => other[0]!,
    primaryRegionOf: () => primaryRegion,
  };
}

function makeWish(user: string, needsPrimary = false): PoolerRequirements {
  return {service: 's0', user: memberUser(user), needsPrimary};
}

const ACCOUNTS = Array.from({length: 74}, (...[, at]) => `account-${at}`);

describe('the poolers of shared connections', () => {
  it('go from the own site to the region and to the others', () => {
    const ranked = new NearestPoolerRanking(makePlace('a2')).rank(
      POOLERS,
      makeWish('anybody'),
    );
    const sites = ranked.map(({site}) => site);
    expect(sites.slice(0, 2)).toEqual(['a2', 'a1']);
  });
});

describe('the poolers of an account', () => {
  const firstFrom = (
    site: string,
    wish: PoolerRequirements,
    primary?: string,
  ) => {
    const choice = new AccountAffinityRanking(makePlace(site, primary));
    return choice.rank(POOLERS, wish)[0]!.site;
  };

  it('are the same for all proxies of a region', () => {
    for (const account of ACCOUNTS) {
      const wish = makeWish(account);
      expect(firstFrom('b1', wish)).toBe(firstFrom('b2', wish));
      expect(firstFrom('b1', wish)[0]).toBe('b');
    }
  });

  it('are where the primary is for work that needs it', () => {
    for (const account of ACCOUNTS) {
      const wish = makeWish(account, true);
      const first = firstFrom('a1', wish, 'c');
      expect(first[0]).toBe('c');
      expect(firstFrom('b2', wish, 'c')).toBe(first);
    }
  });

  it('are spread evenly, and take few connections a pooler', () => {
    // Load: 74 accounts before members that take 39 connections. Two poolers of
    // a region then serve 37 accounts each with 18 connections to its member;
    // with a pooler of its own in each site, each served 74 with 6.
    const counts = new Map<string, number>();
    for (const account of ACCOUNTS) {
      const first = firstFrom('a1', makeWish(account));
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    const most = Math.max(...counts.values());
    expect(counts.size).toBe(2);
    expect(most).toBeLessThan(50);
  });

  it('change for few accounts when a pooler is lost', () => {
    const without = POOLERS.filter(({site}) => site !== 'a1');
    const choice = new AccountAffinityRanking(makePlace('a2'));
    for (const account of ACCOUNTS) {
      const before = choice.rank(POOLERS, makeWish(account))[0]!.site;
      const after = choice.rank(without, makeWish(account))[0]!.site;
      if (before !== 'a1') expect(after).toBe(before);
    }
  });
});

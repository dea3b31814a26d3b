import {describe, expect, it} from 'vitest';
import {memberUser} from '../../../../base/common/ids';
import type {PoolerEntry} from '../../../../schema/generated/fleet';
import {
  NearestPoolerRanking,
  AccountAffinityRanking,
  type PoolerRequirements,
  type ProxyLocation,
} from '../../common/pooler_ranking';

/** The first letter of a site is its region. */
const SITES = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];

const POOLERS: readonly PoolerEntry[] = SITES.map(site => ({
  service: 's0',
  instance: `p-${site}`,
  address: `${site}:1`,
  site,
}));

function makeLocation(site: string, primaryRegion?: string): ProxyLocation {
  return {
    instance: `proxy-${site}`,
    site,
    regionOf: (other: string) => other[0]!,
    primaryRegionOf: () => primaryRegion,
  };
}

function makeRequirements(
  user: string,
  needsPrimary = false,
): PoolerRequirements {
  return {service: 's0', user: memberUser(user), needsPrimary};
}

const ACCOUNTS = Array.from({length: 74}, (...[, at]) => `account-${at}`);

describe('the ranking of poolers for shared connections', () => {
  it('starts with the own site, then the own region', () => {
    const ranked = new NearestPoolerRanking(makeLocation('a2')).rank(
      POOLERS,
      makeRequirements('anybody'),
    );
    const sites = ranked.map(({site}) => site);
    expect(sites.slice(0, 2)).toEqual(['a2', 'a1']);
  });
});

describe('the ranking of poolers for an account', () => {
  const firstFrom = (
    site: string,
    requirements: PoolerRequirements,
    primary?: string,
  ) => {
    const ranking = new AccountAffinityRanking(makeLocation(site, primary));
    return ranking.rank(POOLERS, requirements)[0]!.site;
  };

  it('is the same for all proxies of a region', () => {
    for (const account of ACCOUNTS) {
      const requirements = makeRequirements(account);
      expect(firstFrom('b1', requirements)).toBe(firstFrom('b2', requirements));
      expect(firstFrom('b1', requirements)[0]).toBe('b');
    }
  });

  it('starts in the region of the primary for requests that need it', () => {
    for (const account of ACCOUNTS) {
      const requirements = makeRequirements(account, true);
      const first = firstFrom('a1', requirements, 'c');
      expect(first[0]).toBe('c');
      expect(firstFrom('b2', requirements, 'c')).toBe(first);
    }
  });

  it('spreads the accounts evenly over the poolers', () => {
    // Load: many accounts share the few connections of a member. Spread over
    // all sites, each pooler would open connections for all accounts.
    const counts = new Map<string, number>();
    for (const account of ACCOUNTS) {
      const first = firstFrom('a1', makeRequirements(account));
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    const largest = Math.max(...counts.values());
    expect(counts.size).toBe(2);
    expect(largest).toBeLessThan(50);
  });

  it('changes only for the accounts of a lost pooler', () => {
    const without = POOLERS.filter(({site}) => site !== 'a1');
    const ranking = new AccountAffinityRanking(makeLocation('a2'));
    for (const account of ACCOUNTS) {
      const before = ranking.rank(POOLERS, makeRequirements(account))[0]!.site;
      const after = ranking.rank(without, makeRequirements(account))[0]!.site;
      if (before !== 'a1') expect(after).toBe(before);
    }
  });
});

import {describe, expect, it} from 'vitest';
import type {PoolerEntry} from '../../../../schema/generated/fleet';
import {planPoolers, type Candidate} from '../../common/pooler_plan';
import {PoolerRegistry} from '../../common/pooler_registry';
import {rankPoolers} from '../../common/choose_pooler';

const SITES = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];

function makeProxies(count: number): Candidate[] {
  return [...Array(count).keys()].map(at => ({
    instance: `p${at}`,
    site: SITES[at % SITES.length]!,
    address: `10.0.0.${at}:1`,
  }));
}

function makeServices(count: number, connections: number) {
  return [...Array(count).keys()].map(at => {
    return {service: `s${at}`, connections};
  });
}

const namesOf = (plan: readonly PoolerEntry[]) => {
  return plan.map(({service, instance}) => `${service} ${instance}`);
};

describe('planPoolers', () => {
  it('lets each proxy serve alone where connections are many', () => {
    expect(planPoolers(makeServices(3, 16), makeProxies(6), [])).toEqual([]);
  });

  it('spreads a service over the sites and its poolers over proxies', () => {
    const plan = planPoolers(makeServices(6, 32), makeProxies(63), []);
    expect(plan).toHaveLength(36);
    const sites = plan.filter(({service}) => service === 's0');
    expect(new Set(sites.map(({site}) => site)).size).toBe(6);
    expect(new Set(plan.map(({instance}) => instance)).size).toBe(36);
  });

  it('moves only what a proxy kept that is gone', () => {
    // One proxy of 63 restarts. If the whole plan were made anew, most
    // connections to the members would be closed and opened at once.
    const proxies = makeProxies(63);
    const services = makeServices(6, 32);
    const plan = planPoolers(services, proxies, []);
    const gone = plan[7]!.instance;
    const rest = proxies.filter(({instance}) => instance !== gone);
    const next = namesOf(planPoolers(services, rest, plan));
    const kept = namesOf(plan).filter(name => next.includes(name));
    expect(kept).toHaveLength(35);
    expect(next).toHaveLength(36);
    expect(next.join(' ')).not.toContain(`${gone} `);
  });
});

describe('PoolerRegistry', () => {
  const services = makeServices(1, 4);

  it('keeps the part of a pooler that is away for a moment', () => {
    // The leader of control changes or a stream breaks: the pooler itself
    // serves on. Moved at once, its connections would be opened elsewhere
    // while it still has them, and the member would be full.
    const registry = new PoolerRegistry();
    const proxies = makeProxies(6);
    registry.update(services, proxies, 0);
    expect(registry.update(services, proxies, 1_000)).toBe(true);
    const [{instance}] = registry.poolers as [PoolerEntry];
    const rest = proxies.filter(other => other.instance !== instance);
    expect(registry.update(services, rest, 1_500)).toBe(false);
    expect(registry.update(services, rest, 3_400)).toBe(false);
    expect(registry.update(services, rest, 3_600)).toBe(true);
    expect(registry.instancesOf('s0')).not.toContain(instance);
  });

  it('takes over the poolers of the leader before', () => {
    const registry = new PoolerRegistry();
    const proxies = makeProxies(6);
    registry.update(services, proxies.slice(0, 2), 0);
    registry.adopt(proxies[4]!, ['s0']);
    registry.update(services, proxies, 1_000);
    expect(registry.instancesOf('s0')).toEqual(['p4']);
  });
});

describe('rankPoolers', () => {
  it('goes from the own site to the region and to the others', () => {
    const plan = planPoolers(makeServices(1, 32), makeProxies(24), []);
    const here = {instance: 'p7', site: 'a2', regionOf: (s: string) => s[0]!};
    const sites = rankPoolers(plan, 's0', here).map(({site}) => site);
    expect(sites.slice(0, 2)).toEqual(['a2', 'a1']);
  });
});

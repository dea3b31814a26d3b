import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import type {PoolerEntry} from '../../../../schema/generated/fleet';
import {planPoolers, type PoolerCandidate} from '../../common/pooler_plan';
import {PoolerPlanner} from '../../common/pooler_planner';

const SITES = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];

function makeProxies(count: number): PoolerCandidate[] {
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
  it('lets each proxy serve alone where there are few of them', () => {
    expect(planPoolers(makeServices(3, 16), makeProxies(6), [])).toEqual([]);
    expect(planPoolers(makeServices(3, 39), makeProxies(9), [])).toEqual([]);
  });

  it('lets a few proxies serve alone when some are added', () => {
    // Three instances join the six of a small site. Two poolers for nine
    // proxies of three regions had seven connections each to a primary 40 ms
    // away; 2 % of the requests waited for one in vain, on a calm day.
    const proxies = makeProxies(9).map((proxy, at) => {
      return {...proxy, site: SITES[(at % 3) * 2]!};
    });
    expect(planPoolers(makeServices(3, 16), proxies, [])).toEqual([]);
  });

  it('gives each proxy about one part where connections are many', () => {
    const plan = planPoolers(makeServices(6, 206), makeProxies(82), []);
    expect(plan).toHaveLength(78);
    expect(new Set(plan.map(({instance}) => instance)).size).toBe(78);
  });

  it('spreads a service over the sites and its poolers over proxies', () => {
    const plan = planPoolers(makeServices(6, 32), makeProxies(63), []);
    expect(plan).toHaveLength(36);
    const sites = plan.filter(({service}) => service === 's0');
    expect(new Set(sites.map(({site}) => site)).size).toBe(6);
    expect(new Set(plan.map(({instance}) => instance)).size).toBe(36);
  });

  it('gives each site a pooler though each gets few connections', () => {
    // 68 proxies of six sites share 21 connections to a primary. Five for each
    // pooler made four poolers, which is none at all: each proxy opened and
    // closed its own, and half of the bookings found no connection in time.
    const plan = planPoolers(makeServices(6, 23), makeProxies(68), []);
    expect(plan).toHaveLength(36);
    const sites = plan.filter(({service}) => service === 's0');
    expect(new Set(sites.map(({site}) => site)).size).toBe(6);
  });

  it('names none where a site would be left with too few', () => {
    expect(planPoolers(makeServices(6, 19), makeProxies(68), [])).toEqual([]);
  });

  it('leaves a plan as it is while nothing changes', () => {
    // Control looks at the plan several times a second. If a proxy's second
    // part went elsewhere at each look, its connections would be opened anew.
    const random = new SeededRandom(7);
    const upTo = (most: number) => random.integer(0, most - 1);
    for (let round = 0; round < 500; round++) {
      const proxies = makeProxies(5 + upTo(90)).map(proxy => {
        return {...proxy, site: SITES[Math.min(upTo(6), upTo(6))]!};
      });
      const services = makeServices(1 + upTo(8), 5 + upTo(200));
      const plan = planPoolers(services, proxies, []);
      expect(planPoolers(services, proxies, plan)).toEqual(plan);
    }
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

describe('planPoolers after a loss', () => {
  it('takes parts from poolers that have too many of them', () => {
    // All proxies restart, and the first one of a region gets the parts of all
    // services there. Its link of 2 Mbit/s carried the work of 20 proxies: a
    // quarter of the requests failed for as long as it kept them.
    const proxies = makeProxies(63);
    const services = makeServices(6, 32);
    const early = proxies[0]!;
    const first = services.map(({service}) => ({service, ...early}));
    const all = planPoolers(services, proxies, first);
    expect(all).toHaveLength(36);
    const parts = all.map(({instance}) => instance);
    expect(new Set(parts).size).toBe(36);
  });

  it('gives a site its parts back that was away', () => {
    const proxies = makeProxies(63);
    const services = makeServices(1, 32);
    const rest = proxies.filter(({site}) => site !== 'a1' && site !== 'a2');
    const without = planPoolers(services, rest, []);
    const again = planPoolers(services, proxies, without);
    const sites = again.map(({site}) => site).sort();
    expect(sites).toEqual([...SITES].sort());
  });
});

describe('PoolerPlanner', () => {
  const services = makeServices(6, 32);
  const proxies = makeProxies(63);

  it('waits for the proxies before it names the first poolers', () => {
    const planner = new PoolerPlanner(0);
    expect(planner.plan(services, proxies, [], 900)).toBeUndefined();
    expect(planner.plan(services, proxies, [], 1_000)).toHaveLength(36);
  });

  it('keeps the part of a pooler that is away for a moment', () => {
    // A stream to control breaks: the pooler itself serves on. Moved at once,
    // its connections would be opened elsewhere while it still has them, and
    // the members would be full.
    const planner = new PoolerPlanner(0);
    const named = planner.plan(services, proxies, [], 1_000)!;
    const gone = named[0]!.instance;
    const rest = proxies.filter(({instance}) => instance !== gone);
    expect(planner.plan(services, rest, named, 1_500)).toBeUndefined();
    expect(planner.plan(services, rest, named, 4_400)).toBeUndefined();
    const next = planner.plan(services, rest, named, 4_500)!;
    expect(next).toHaveLength(36);
    expect(next.some(({instance}) => instance === gone)).toBe(false);
  });

  it('leaves poolers in place while a new leader waits for them', () => {
    // The leader freezes. Another one is elected within a second, but its
    // proxies notice the freeze up to 2 s later. Without the others, the first
    // ones to come were named for everything, again and again: all proxies
    // dropped their poolers, with what was under way there.
    const named = new PoolerPlanner(0).plan(services, proxies, [], 1_000)!;
    const planner = new PoolerPlanner(5_000);
    for (let count = 0; count < 63; count += 7) {
      const now = 6_000 + count * 30;
      const some = proxies.slice(0, count);
      expect(planner.plan(services, some, named, now)).toBeUndefined();
    }
  });
});

describe('a plan that is looked at again and again', () => {
  it('is made anew only where something changed', () => {
    // Load: 340 services and 200 proxies, as before 300 machines. The leader
    // looks five times a second, and each look took 79 ms of a processor of
    // which it has 0.4.
    const services = makeServices(340, 39);
    const proxies = makeProxies(200);
    const planner = new PoolerPlanner(0);
    const named = planner.plan(services, proxies, [], 1_000)!;
    expect(planner.plan(services, proxies, named, 1_200)).toBeUndefined();
    const looked: string[] = [];
    const watched = proxies.map(proxy => ({
      ...proxy,
      get site() {
        looked.push(proxy.instance);
        return proxy.site;
      },
    }));
    expect(planner.plan(services, watched, named, 1_400)).toBeUndefined();
    expect(looked).toEqual([]);
    const fewer = proxies.slice(1);
    planner.plan(services, fewer, named, 1_600);
    expect(planner.plan(services, fewer, named, 9_000)).toBeDefined();
  });
});

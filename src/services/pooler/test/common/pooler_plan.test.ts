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
  it('assigns no poolers where proxies are few', () => {
    expect(planPoolers(makeServices(3, 16), makeProxies(6), [])).toEqual([]);
    expect(planPoolers(makeServices(3, 39), makeProxies(9), [])).toEqual([]);
  });

  it('assigns no poolers after a few proxies join a small fleet', () => {
    // A few instances join a small fleet. With few poolers in distant regions,
    // requests would wait in vain for one of their connections to a primary.
    const proxies = makeProxies(9).map((proxy, at) => {
      return {...proxy, site: SITES[(at % 3) * 2]!};
    });
    expect(planPoolers(makeServices(3, 16), proxies, [])).toEqual([]);
  });

  it('gives each proxy about one role where connections are many', () => {
    const plan = planPoolers(makeServices(6, 206), makeProxies(82), []);
    expect(plan).toHaveLength(78);
    expect(new Set(plan.map(({instance}) => instance)).size).toBe(78);
  });

  it('spreads a service over sites and its poolers over proxies', () => {
    const plan = planPoolers(makeServices(6, 32), makeProxies(63), []);
    expect(plan).toHaveLength(36);
    const sites = plan.filter(({service}) => service === 's0');
    expect(new Set(sites.map(({site}) => site)).size).toBe(6);
    expect(new Set(plan.map(({instance}) => instance)).size).toBe(36);
  });

  it('assigns a pooler in each site though each gets few connections', () => {
    // Many proxies share few connections to a primary. Without poolers, each
    // proxy opens its own ones and requests find none in time.
    const plan = planPoolers(makeServices(6, 23), makeProxies(68), []);
    expect(plan).toHaveLength(36);
    const sites = plan.filter(({service}) => service === 's0');
    expect(new Set(sites.map(({site}) => site)).size).toBe(6);
  });

  it('assigns none where a site would get too few connections', () => {
    expect(planPoolers(makeServices(6, 19), makeProxies(68), [])).toEqual([]);
  });

  it('keeps a plan while nothing changes', () => {
    // The plan is computed repeatedly. If it moved roles each time, their
    // connections would be reopened each time.
    const random = new SeededRandom(7);
    const upTo = (count: number) => random.integer(0, count - 1);
    for (let round = 0; round < 500; round++) {
      const proxies = makeProxies(5 + upTo(90)).map(proxy => {
        return {...proxy, site: SITES[Math.min(upTo(6), upTo(6))]!};
      });
      const services = makeServices(1 + upTo(8), 5 + upTo(200));
      const plan = planPoolers(services, proxies, []);
      expect(planPoolers(services, proxies, plan)).toEqual(plan);
    }
  });

  it('moves only the roles of a proxy that is gone', () => {
    // One proxy restarts. A completely new plan would reopen most connections
    // to the members at once.
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
  it('takes roles from poolers that have too many', () => {
    // All proxies restart, and the first one of a region gets the roles of all
    // services there. Its link is overloaded for as long as it keeps them.
    const proxies = makeProxies(63);
    const services = makeServices(6, 32);
    const earlyProxy = proxies[0]!;
    const first = services.map(({service}) => ({service, ...earlyProxy}));
    const all = planPoolers(services, proxies, first);
    expect(all).toHaveLength(36);
    const instances = all.map(({instance}) => instance);
    expect(new Set(instances).size).toBe(36);
  });

  it('returns roles to a site that was away', () => {
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

  it('waits for proxies before it assigns the first poolers', () => {
    const planner = new PoolerPlanner(0);
    expect(planner.plan(services, proxies, [], 900)).toBeUndefined();
    expect(planner.plan(services, proxies, [], 1_000)).toHaveLength(36);
  });

  it('keeps the role of a pooler that is disconnected briefly', () => {
    // The stream to control breaks while the pooler still serves. Moved at
    // once, its connections would be opened elsewhere while it holds them, and
    // exceed the limits of the members.
    const planner = new PoolerPlanner(0);
    const assigned = planner.plan(services, proxies, [], 1_000)!;
    const gone = assigned[0]!.instance;
    const rest = proxies.filter(({instance}) => instance !== gone);
    expect(planner.plan(services, rest, assigned, 1_500)).toBeUndefined();
    expect(planner.plan(services, rest, assigned, 4_400)).toBeUndefined();
    const next = planner.plan(services, rest, assigned, 4_500)!;
    expect(next).toHaveLength(36);
    expect(next.some(({instance}) => instance === gone)).toBe(false);
  });

  it('keeps the poolers while a new leader waits for them', () => {
    // After an election, proxies take a while to reconnect. If the first ones
    // were assigned all roles meanwhile, all proxies would drop their poolers
    // and the work in progress there.
    const assigned = new PoolerPlanner(0).plan(services, proxies, [], 1_000)!;
    const planner = new PoolerPlanner(5_000);
    for (let count = 0; count < 63; count += 7) {
      const now = 6_000 + count * 30;
      const some = proxies.slice(0, count);
      expect(planner.plan(services, some, assigned, now)).toBeUndefined();
    }
  });
});

describe('a plan that is requested repeatedly', () => {
  it('is computed only if something changed', () => {
    // Load: hundreds of services and proxies. Computing the plan on each tick
    // would take most of the processor time of the leader.
    const services = makeServices(340, 39);
    const proxies = makeProxies(200);
    const planner = new PoolerPlanner(0);
    const assigned = planner.plan(services, proxies, [], 1_000)!;
    expect(planner.plan(services, proxies, assigned, 1_200)).toBeUndefined();
    const reads: string[] = [];
    const watched = proxies.map(proxy => ({
      ...proxy,
      get site() {
        reads.push(proxy.instance);
        return proxy.site;
      },
    }));
    expect(planner.plan(services, watched, assigned, 1_400)).toBeUndefined();
    expect(reads).toEqual([]);
    const fewer = proxies.slice(1);
    planner.plan(services, fewer, assigned, 1_600);
    expect(planner.plan(services, fewer, assigned, 9_000)).toBeDefined();
  });
});

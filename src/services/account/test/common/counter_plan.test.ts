import {beforeEach, describe, expect, it} from 'vitest';
import type {CounterEntry} from '../../../../schema/generated/fleet';
import {CounterPlanner, type CounterCandidate} from '../../common/counter_plan';
import {makeCounter} from './permit_counting_fakes';

/** Longer than a leader waits for its proxies, in milliseconds. */
const SETTLED_MS = 2_000;
/** Longer than a counter may be without a stream, in milliseconds. */
const GONE_MS = 4_000;

let planner: CounterPlanner;
let hasLimits: boolean;
let free: Set<string>;
let counters: readonly CounterEntry[];
let reasons: string[];

const regionOf = (site: string) => site.split('-')[0]!;

/** A proxy whose name begins with its site, as "north-1/a". */
function makeProxy(name: string): CounterCandidate {
  const {instance, address} = makeCounter(name);
  return {instance, address, site: name.split('/')[0]!};
}

/** Takes what is planned as the log would; the names of those in force. */
function look(names: readonly string[], now: number): string[] {
  const need = {
    hasLimits,
    regionOf,
    canRemove: (instance: string) => free.has(instance),
  };
  const plan = planner.plan(need, names.map(makeProxy), counters, now);
  if (plan) {
    counters = plan.counters;
    for (const {instance, kind, reason} of plan.changes) {
      reasons.push(`${instance} ${kind}: ${reason}`);
    }
  }
  return active();
}

const active = () => {
  const named = counters.filter(({retiring}) => !retiring);
  return named.map(({instance}) => instance).sort();
};

const retiring = () => {
  const named = counters.filter(entry => entry.retiring);
  return named.map(({instance}) => instance);
};

beforeEach(() => {
  planner = new CounterPlanner(0);
  hasLimits = true;
  free = new Set();
  counters = [];
  reasons = [];
});

const NORTH = ['north-1/a', 'north-1/b', 'north-2/a', 'north-2/b'];
const SOUTH = ['south-1/a'];

describe('counters', () => {
  it('are two in each region, in different sites, one where there is one', () => {
    const named = look([...NORTH, ...SOUTH], SETTLED_MS);
    expect(named).toHaveLength(3);
    expect(named.map(name => name.split('/')[0])).toEqual([
      'north-1',
      'north-2',
      'south-1',
    ]);
  });

  it('are not named before proxies had time to come', () => {
    expect(look(NORTH, 500)).toEqual([]);
  });

  it('are none where no account has a limit', () => {
    hasLimits = false;
    for (let now = 0; now < 20_000; now += 200) look(NORTH, now);
    expect(reasons).toEqual([]);
  });

  it('stay while other proxies come and go', () => {
    const named = look(NORTH, SETTLED_MS);
    for (let now = SETTLED_MS; now < 20_000; now += 200) {
      const others = [`north-${1 + (now % 3)}/x${now}`, ...SOUTH];
      expect(look([...named, ...others], now)).toEqual(
        expect.arrayContaining(named),
      );
    }
    expect(retiring()).toEqual([]);
  });
});

describe('a counter that is lost', () => {
  let lost: string;
  let left: string[];

  beforeEach(() => {
    [lost] = look(NORTH, SETTLED_MS) as [string];
    left = NORTH.filter(name => name !== lost);
  });

  it('stays while its proxy comes back soon, as after an election', () => {
    // All proxies lose their streams when the leader changes and come back one
    // by one. Replaced meanwhile, counters would move at each election, and
    // callers be refused while shares move with them.
    const before = active();
    look([], SETTLED_MS + 200);
    look([], SETTLED_MS + 2_400);
    look(NORTH, SETTLED_MS + 2_600);
    look(NORTH, SETTLED_MS + GONE_MS);
    expect(active()).toEqual(before);
  });

  it('is replaced, and listed until it can hold no share', () => {
    // A counter dies. Its shares may be in use where it is only cut off, so it
    // has to stay in the log: a leader that comes then must know of it.
    look(left, SETTLED_MS + 200);
    look(left, SETTLED_MS + 200 + GONE_MS);
    expect(active()).toHaveLength(2);
    expect(retiring()).toEqual([lost]);
    expect(reasons).toContain(`${lost} retiring: it is gone`);
    look(left, SETTLED_MS + 10_000);
    expect(retiring()).toEqual([lost]);
    free.add(lost);
    look(left, SETTLED_MS + 10_200);
    expect(retiring()).toEqual([]);
    expect(active()).toHaveLength(2);
  });

  it('is not named anew before it is free', () => {
    // The only proxy of a region was retired as a counter. Shares of before may
    // be in use there; named at once, it would get new ones on top.
    const lonely = ['south-1/a'];
    counters = [makeCounter('south-1/a', {site: 'south-1', retiring: true})];
    look(lonely, SETTLED_MS);
    expect(active()).toEqual([]);
    free.add('south-1/a');
    look(lonely, SETTLED_MS + 200);
    look(lonely, SETTLED_MS + 400);
    expect(active()).toEqual(lonely);
  });

  it('is met at its new address where it came back elsewhere', () => {
    // A counter's machine comes back at another address. Proxies that know the
    // old one only would ask nobody, and refuse callers of its accounts.
    const elsewhere = {...makeProxy(lost), address: 'elsewhere:1'};
    const need = {hasLimits, regionOf, canRemove: () => false};
    const proxies = [...left.map(makeProxy), elsewhere];
    const plan = planner.plan(need, proxies, counters, SETTLED_MS + 200);
    const entry = plan?.counters.find(({instance}) => instance === lost);
    expect(entry).toMatchObject({address: 'elsewhere:1', retiring: false});
  });
});

it('retires all once no account has a limit', () => {
  look(NORTH, SETTLED_MS);
  hasLimits = false;
  expect(look(NORTH, SETTLED_MS + 200)).toEqual([]);
  for (const name of retiring()) free.add(name);
  look(NORTH, SETTLED_MS + 400);
  expect(counters).toEqual([]);
});

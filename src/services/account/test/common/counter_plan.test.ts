import {beforeEach, describe, expect, it} from 'vitest';
import type {CounterEntry} from '../../../../schema/generated/fleet';
import {CounterPlanner, type CounterCandidate} from '../../common/counter_plan';
import {makeCounter} from './permit_counting_fakes';

/** Longer than a new leader waits for proxies to attach. */
const ATTACHED_MS = 2_000;
/** Longer than a counter may be detached. */
const LOST_MS = 4_000;

let planner: CounterPlanner;
let hasLimits: boolean;
let removable: Set<string>;
let counters: readonly CounterEntry[];
let reasons: string[];

const regionOf = (site: string) => site.split('-')[0]!;

/** Returns a proxy whose name starts with its site, as "north-1/a". */
function makeProxy(name: string): CounterCandidate {
  const {instance, address} = makeCounter(name);
  return {instance, address, site: name.split('/')[0]!};
}

/** Applies the next plan and returns the active counters. */
function plan(names: readonly string[], now: number): string[] {
  const needs = {
    hasLimits,
    regionOf,
    canRemove: (instance: string) => removable.has(instance),
  };
  const next = planner.plan(needs, names.map(makeProxy), counters, now);
  if (next) {
    counters = next.counters;
    for (const {instance, kind, reason} of next.changes) {
      reasons.push(`${instance} ${kind}: ${reason}`);
    }
  }
  return active();
}

const active = () => {
  const entries = counters.filter(({retiring}) => !retiring);
  return entries.map(({instance}) => instance).sort();
};

const retiring = () => {
  const entries = counters.filter(entry => entry.retiring);
  return entries.map(({instance}) => instance);
};

beforeEach(() => {
  planner = new CounterPlanner(0);
  hasLimits = true;
  removable = new Set();
  counters = [];
  reasons = [];
});

const NORTH = ['north-1/a', 'north-1/b', 'north-2/a', 'north-2/b'];
const SOUTH = ['south-1/a'];

describe('counters', () => {
  it('are two in each region if possible, in different sites', () => {
    const chosen = plan([...NORTH, ...SOUTH], ATTACHED_MS);
    expect(chosen).toHaveLength(3);
    expect(chosen.map(name => name.split('/')[0])).toEqual([
      'north-1',
      'north-2',
      'south-1',
    ]);
  });

  it('are not chosen before proxies had time to attach', () => {
    expect(plan(NORTH, 500)).toEqual([]);
  });

  it('are not chosen where no account has a limit', () => {
    hasLimits = false;
    for (let now = 0; now < 20_000; now += 200) plan(NORTH, now);
    expect(reasons).toEqual([]);
  });

  it('stay while other proxies attach and detach', () => {
    const chosen = plan(NORTH, ATTACHED_MS);
    for (let now = ATTACHED_MS; now < 20_000; now += 200) {
      const others = [`north-${1 + (now % 3)}/x${now}`, ...SOUTH];
      expect(plan([...chosen, ...others], now)).toEqual(
        expect.arrayContaining(chosen),
      );
    }
    expect(retiring()).toEqual([]);
  });
});

describe('a counter that is lost', () => {
  let lost: string;
  let remaining: string[];

  beforeEach(() => {
    [lost] = plan(NORTH, ATTACHED_MS) as [string];
    remaining = NORTH.filter(name => name !== lost);
  });

  it('stays where its proxy attaches again soon', () => {
    // Guards against new counters, and refusals while shares move, at each
    // change of leader: all proxies attach again one by one.
    const before = active();
    plan([], ATTACHED_MS + 200);
    plan([], ATTACHED_MS + 2_400);
    plan(NORTH, ATTACHED_MS + 2_600);
    plan(NORTH, ATTACHED_MS + LOST_MS);
    expect(active()).toEqual(before);
  });

  it('is replaced, and listed until it holds no share', () => {
    // Guards against a new leader that does not know of a disconnected counter
    // whose shares are still in use.
    plan(remaining, ATTACHED_MS + 200);
    plan(remaining, ATTACHED_MS + 200 + LOST_MS);
    expect(active()).toHaveLength(2);
    expect(retiring()).toEqual([lost]);
    expect(reasons).toContain(
      `${lost} retiring: its connection to control is lost`,
    );
    plan(remaining, ATTACHED_MS + 10_000);
    expect(retiring()).toEqual([lost]);
    removable.add(lost);
    plan(remaining, ATTACHED_MS + 10_200);
    expect(retiring()).toEqual([]);
    expect(active()).toHaveLength(2);
  });

  it('is not chosen again before it holds no share', () => {
    // Guards against new shares on top of old ones at the only proxy of a
    // region.
    const only = ['south-1/a'];
    counters = [makeCounter('south-1/a', {site: 'south-1', retiring: true})];
    plan(only, ATTACHED_MS);
    expect(active()).toEqual([]);
    removable.add('south-1/a');
    plan(only, ATTACHED_MS + 200);
    plan(only, ATTACHED_MS + 400);
    expect(active()).toEqual(only);
  });

  it('is listed with its new address', () => {
    // Guards against proxies that connect to the old address of a counter and
    // refuse the callers of its accounts.
    const moved = {...makeProxy(lost), address: 'elsewhere:1'};
    const needs = {hasLimits, regionOf, canRemove: () => false};
    const proxies = [...remaining.map(makeProxy), moved];
    const next = planner.plan(needs, proxies, counters, ATTACHED_MS + 200);
    const entry = next?.counters.find(({instance}) => instance === lost);
    expect(entry).toMatchObject({address: 'elsewhere:1', retiring: false});
  });
});

it('retires all counters when no account has a limit', () => {
  plan(NORTH, ATTACHED_MS);
  hasLimits = false;
  expect(plan(NORTH, ATTACHED_MS + 200)).toEqual([]);
  for (const name of retiring()) removable.add(name);
  plan(NORTH, ATTACHED_MS + 400);
  expect(counters).toEqual([]);
});

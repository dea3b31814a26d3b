import {afterEach, beforeEach, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {MessageServer} from '../../../../base/node/message_server';
import {
  type Catalog,
  type CounterEntry,
  type Member,
  type PoolerEntry,
} from '../../../../schema/generated/fleet';
import {
  makeCatalog,
  makeLog,
  makeRoute,
} from '../../../gateway/test/node/session_fixture';
import {CatalogLease} from '../../../account/common/catalog_lease';
import {
  FakeAllocator,
  FakeCounter,
  makeCounter,
  makeShare,
} from '../../../account/test/common/permit_counting_fakes';
import {PublishedPrimaries} from '../../../lease/common/published_primaries';
import {PrimaryLeases} from '../../../lease/common/primary_leases';
import {LeaseHolders} from '../../../lease/common/lease_holders';
import {makeAssignment} from '../../../lease/test/common/lease_fixture';
import {ConnectionQuota} from '../../../connection_quota/common/connection_quota';
import {UNKNOWN_CAPACITY} from '../../../connection_quota/common/capacity';
import {ConnectionAllocator} from '../../../connection_quota/common/connection_allocator';
import {FleetFollower} from '../../node/fleet_follower';
import {FleetLeader} from '../../node/fleet_leader';

/** A control instance, as far as its proxies see it. */
class Instance {
  leads = false;
  knownLeader = '';
  version = 1;
  routes = [makeRoute()];
  address = '';
  poolers: PoolerEntry[] = [];
  members: Member[] = [];
  isConfirmed = true;
  usualProxies = 0;
  readonly board = new PublishedPrimaries();
  allocator = new FakeAllocator();
  counters: readonly CounterEntry[] = [];
  room = new ConnectionAllocator(-Infinity);
  readonly holders = new LeaseHolders(-Infinity);
  readonly clock = new ManualClock();
  readonly logged = makeLog();
  readonly leader: FleetLeader;

  constructor() {
    this.leader = new FleetLeader(
      {
        isLeading: () => this.leads,
        leaderAddress: () => this.knownLeader,
        ownAddress: () => this.address,
        catalog: () => makeCatalog(this.routes, {version: this.version}),
        members: () => this.members,
        membersRevision: () => 1,
        poolers: () => this.poolers,
        poolersRevision: () => this.poolers.length,
        expectedProxyCount: () => this.usualProxies,
        publishedPrimaries: () => this.board,
        holders: () => this.holders,
        counters: () => this.counters,
        shares: () => this.allocator,
        connectionAllocator: () => this.room,
        confirm: () => Promise.resolve(this.isConfirmed),
      },
      this.clock,
      this.logged.log,
    );
  }

  async start(signal: AbortSignal): Promise<void> {
    const server = new MessageServer(makeLog().log);
    this.leader.serve(server);
    const port = await server.listen('127.0.0.1:0', signal);
    if (port.isErr) throw port.error;
    this.address = `127.0.0.1:${port.value}`;
    this.leader.start(signal);
  }
}

let stop: AbortController;
let first: Instance;
let second: Instance;
let catalogs: Catalog[];
let lists: (readonly PoolerEntry[])[];
let counts: number[];
let rosters: string[];
let counter: FakeCounter;
let counterLists: string[];
let leases: PrimaryLeases;
let catalogLease: CatalogLease;
let room: ConnectionQuota;

beforeEach(async () => {
  stop = new AbortController();
  catalogs = [];
  lists = [];
  counts = [];
  rosters = [];
  counter = new FakeCounter();
  counterLists = [];
  leases = new PrimaryLeases(new MonotonicClock());
  room = new ConnectionQuota(new MonotonicClock());
  catalogLease = new CatalogLease(5_000, new MonotonicClock());
  first = new Instance();
  second = new Instance();
  await first.start(stop.signal);
  await second.start(stop.signal);
});

afterEach(() => stop.abort());

function follow(instance = 'p1'): FleetFollower {
  const follower = new FleetFollower(
    {
      instance,
      site: 'a',
      address: `${instance}:1`,
      addresses: () => [first.address, second.address],
      leases,
      catalogLease,
      counter,
      connectionQuota: room,
      capacity: UNKNOWN_CAPACITY,
    },
    {
      onDidReceiveCatalog: catalog => catalogs.push(catalog),
      onDidReceiveMembers: ({members, proxyCount}) => {
        counts.push(proxyCount);
        rosters.push(members.map(({instance}) => instance).join(' '));
      },
      onDidReceiveAssignments: () => {},
      onDidConfirmCatalog: () => {},
      onDidReceiveCounters: list => {
        counterLists.push(list.map(({instance}) => instance).join(' '));
      },
      onDidReceivePoolers: ({poolers}) => lists.push(poolers),
    },
    makeLog().log,
    stop.signal,
  );
  follower.start();
  return follower;
}

function makeMember(instance: string): Member {
  const place = {service: 'books', address: `${instance}:1`, site: 'a'};
  return {
    instance,
    ...place,
    slots: 2,
    draining: false,
    born: 0,
    recovering: false,
    role: 1,
  };
}

function makePooler(instance: string): PoolerEntry {
  return {service: 'books', instance, site: 'a', address: `${instance}:1`};
}

async function until(holds: () => boolean): Promise<void> {
  for (let looks = 0; looks < 400 && !holds(); looks++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  expect(holds()).toBe(true);
}

it('leaves a leader that was cut off and deposed', async () => {
  // The control group is cut in two with the leader in the smaller part. The
  // proxy reaches both parts. The old leader gives up its lead and knows no
  // other; changes are made on the other side. A proxy that stayed with the
  // old one would refuse databases that were added since, until the cut heals.
  first.leads = true;
  const follower = follow();
  await until(() => catalogs.length === 1);
  first.leads = false;
  first.leader.onDidLoseLeadership();
  second.leads = true;
  second.version = 2;
  await until(() => catalogs.at(-1)?.version === 2);
  expect(follower.isAttached).toBe(true);
});

it('hears at once who leads from an instance that waited to know', async () => {
  // All instances restart together, so nobody leads at first. Asking around
  // in turn costs a pause for each wrong instance after the election.
  const follower = follow();
  await new Promise(resolve => setTimeout(resolve, 300));
  expect(follower.isAttached).toBe(false);
  second.leads = true;
  first.knownLeader = second.address;
  const electedAt = Date.now();
  first.leader.push();
  await until(() => catalogs.length === 1);
  expect(Date.now() - electedAt).toBeLessThan(1_000);
});

it('stays at an instance that was elected and is not ready yet', async () => {
  // After a common restart an instance is elected that does not know yet
  // whether it has all that was committed. Sent from there to the leader, which
  // is the same instance, each proxy comes back at once; with many of them it
  // has no time for what it waits for, and the fleet never starts.
  first.knownLeader = first.address;
  const follower = follow();
  for (let push = 0; push < 10; push++) {
    first.leader.push();
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  const attached = first.logged.lines.filter(line => {
    return line.startsWith('A proxy is attached.');
  });
  expect(attached).toHaveLength(1);
  first.leads = true;
  first.leader.push();
  await until(() => catalogs.length === 1);
  expect(follower.isAttached).toBe(true);
});

it('asks another instance while the first one keeps silent', async () => {
  // All machines lost power, and the proxy is back before the first control
  // instance on its list, which takes connections and says nothing. Waiting
  // for it alone kept proxies from the leader for up to 2 s.
  first.leader.onDidLoseLeadership();
  second.leads = true;
  const started = Date.now();
  follow();
  await until(() => catalogs.length === 1);
  expect(Date.now() - started).toBeLessThan(900);
});

it('sends a change to the proxies that have an older one', async () => {
  first.leads = true;
  follow();
  await until(() => catalogs.length === 1);
  first.version = 5;
  await until(() => catalogs.length === 2);
  expect(catalogs.map(({version}) => version)).toEqual([1, 5]);
});

it('tells no members of an earlier leadership', async () => {
  // An instance leads, loses the lead and gets it back. Revisions of members
  // begin anew, so an encoded list that it kept would look like the new one,
  // and proxies would send work to members that are long gone.
  first.leads = true;
  first.members = [makeMember('old')];
  const follower = follow();
  await until(() => rosters.includes('old'));
  first.leads = false;
  first.leader.onDidLoseLeadership();
  await until(() => !follower.isAttached);
  first.members = [makeMember('new')];
  first.leads = true;
  await until(() => rosters.at(-1) === 'new');
});

it('tells proxies of the poolers, and of each change', async () => {
  first.leads = true;
  first.poolers = [makePooler('p1')];
  follow('p2');
  await until(() => lists.length === 1);
  first.poolers = [makePooler('p1'), makePooler('p3')];
  await until(() => lists.length === 2);
  expect(lists[1]!.map(({instance}) => instance)).toEqual(['p1', 'p3']);
});

it('tells no number of proxies before they had time to come', async () => {
  // Control elects another leader, and its proxies come one by one. Told that
  // there are two of them, each of many would open half of all connections.
  first.leads = true;
  const proxies = [follow('p1'), follow('p2')];
  await until(() => proxies.every(one => one.isAttached));
  first.leader.push();
  await new Promise(resolve => setTimeout(resolve, 400));
  expect(new Set(counts)).toEqual(new Set([0]));
  first.clock.advance(1_000);
  await until(() => counts.at(-1) === 2);
});

it('counts complaints of those that have connections to judge by', async () => {
  // A primary is cut off from its pooler. The other proxies have no connection
  // to it and never complain; counted in, they would outvote the pooler.
  first.leads = true;
  first.poolers = [makePooler('p1')];
  const pooler = follow('p1');
  const others = [follow('p2'), follow('p3')];
  await until(() => [pooler, ...others].every(one => one.isAttached));
  pooler.report({service: 'books', instance: 'm1', trouble: 'unreachable'});
  await until(
    () => first.leader.failureReportsOf('books', 'm1').complaints === 1,
  );
  expect(first.leader.failureReportsOf('books', 'm1').proxies).toBe(1);
});

it('tells proxies what changed in a catalog, and new ones all of it', async () => {
  first.leads = true;
  follow('p1');
  await until(() => catalogs.length === 1);
  first.version = 2;
  first.routes = [makeRoute(), makeRoute({database: 'films', name: 'r2'})];
  first.leader.push();
  await until(() => catalogs.length === 2);
  follow('p2');
  await until(() => catalogs.length === 3);
  expect(catalogs[1]).toEqual(catalogs[2]);
  expect(catalogs[1]!.routes).toHaveLength(2);
  // Only what did not change is the same object: it was not sent again.
  expect(catalogs[1]!.routes[0]).toBe(catalogs[0]!.routes[0]);
});

it('tells control of trouble and of its end, and of nothing else', async () => {
  // All proxies of a fleet come back at once to a leader that just took over.
  // With a line for each service that is well, they kept it busy for most of a
  // second in which none of them had members to serve from.
  first.leads = true;
  const follower = follow();
  await until(() => follower.isAttached);
  follower.report({service: 'books', instance: 'm1', trouble: ''});
  follower.report({service: 'films', instance: 'm2', trouble: 'unreachable'});
  follower.report({service: 'films', instance: 'm2', trouble: ''});
  const judged = () => {
    const {lines} = first.logged;
    return lines.filter(line => line.startsWith('A proxy judges.'));
  };
  await until(() => judged().length === 2);
  expect(judged().join()).not.toContain('books');
});

it('leases leads to proxies and takes them back', async () => {
  // A primary is cut off from control and goes on answering some proxies. They
  // may rely on it only while control confirms its lead, and must say at once
  // that they no longer do, so that the next one can lead.
  first.board.offer(makeAssignment('m1', 7));
  first.leads = true;
  follow();
  await until(() => leases.isHeld('books', 7));
  expect(first.holders.holdersOf('books', 7, first.clock.now())).toEqual([
    'p1',
  ]);
  first.board.revoke('books');
  first.leader.push();
  await until(() => {
    const {clock} = first;
    return first.holders.holdersOf('books', 7, clock.now()).length === 0;
  });
  expect(leases.isHeld('books', 7)).toBe(false);
});

it('grants no lease that no majority confirmed', async () => {
  // A leader of control was frozen and replaced. It wakes up and answers the
  // proxy that still follows it, before it hears of the other leader.
  first.board.offer(makeAssignment('m1', 7));
  first.isConfirmed = false;
  first.leads = true;
  follow();
  await until(() => catalogs.length > 0);
  await new Promise(resolve => setTimeout(resolve, 300));
  expect(leases.isHeld('books', 7)).toBe(false);
});

it('tells the usual number of proxies before they have come', async () => {
  // All machines restart. The first proxies to come back would take the
  // connections of those that are still starting.
  first.usualProxies = 9;
  first.leads = true;
  follow();
  await until(() => counts.length > 0);
  expect(counts[0]).toBe(9);
});

it('gives a counter its shares and hears what it counted', async () => {
  first.leads = true;
  counter.heldShares = [makeShare('fern')];
  first.allocator.lists.set('p1', {shares: [makeShare('oak')], number: 1});
  follow();
  await until(() => counter.shareListNumber === 1);
  counter.uses.push({account: 'oak', run: 3, refused: 2});
  const {calls} = first.allocator;
  await until(() => calls.includes('in force p1 1'));
  expect(calls[0]).toBe('attached p1 with fern');
  expect(calls).toContain('use p1 oak 3 2');
  expect(counter.heldShares).toEqual([makeShare('oak')]);
});

it('counts a confirmed question before its counter relies on it', async () => {
  // A counter keeps to its shares from a confirmed question on. Control that
  // counted it later than the counter would give its shares to others while
  // they are still in use.
  first.leads = true;
  let renewedAtAnswer: boolean | undefined;
  const {calls} = first.allocator;
  counter.extendLease = () => {
    renewedAtAnswer ??= calls.includes('renewed p1');
  };
  follow();
  await until(() => renewedAtAnswer !== undefined);
  expect(renewedAtAnswer).toBe(true);
});

it('extends no shares that no majority confirmed', async () => {
  // A leader of control was frozen and replaced; its successor may give the
  // shares of a counter that went on by its word to others.
  first.isConfirmed = false;
  first.leads = true;
  follow();
  await until(() => catalogs.length > 0);
  await new Promise(resolve => setTimeout(resolve, 600));
  expect(counter.leaseExtensionCount).toBe(0);
  expect(first.allocator.calls).not.toContain('renewed p1');
});

it('tells the next leader what a counter holds that waited for it', async () => {
  // All of control restarts. A counter waits at an instance that then leads:
  // its shares are in force, and the new leader has to count them before it
  // gives any.
  counter.heldShares = [makeShare('fern')];
  const follower = follow();
  await new Promise(resolve => setTimeout(resolve, 200));
  expect(first.allocator.calls).toEqual([]);
  first.allocator = new FakeAllocator();
  first.leads = true;
  await until(() => follower.isAttached);
  expect(first.allocator.calls[0]).toBe('attached p1 with fern');
  first.leads = false;
  first.leader.onDidLoseLeadership();
  await until(() => counter.detachCount === 1);
});

it('tells proxies of the counters, and of each change', async () => {
  first.leads = true;
  first.counters = [makeCounter('p1')];
  follow('p2');
  await until(() => counterLists.length === 1);
  first.counters = [makeCounter('p1'), makeCounter('p3')];
  await until(() => counterLists.length === 2);
  expect(counterLists).toEqual(['p1', 'p1 p3']);
});

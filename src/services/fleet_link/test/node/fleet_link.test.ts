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

/** A control instance as seen by proxies. */
class ControlInstance {
  leads = false;
  knownLeader = '';
  version = 1;
  routes = [makeRoute()];
  address = '';
  controls: readonly string[] = [];
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
        controlAddresses: () => this.controls,
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
let first: ControlInstance;
let second: ControlInstance;
let catalogs: Catalog[];
let lists: (readonly PoolerEntry[])[];
let counts: number[];
let memberLists: string[];
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
  memberLists = [];
  counter = new FakeCounter();
  counterLists = [];
  leases = new PrimaryLeases(new MonotonicClock());
  room = new ConnectionQuota(new MonotonicClock());
  catalogLease = new CatalogLease(5_000, new MonotonicClock());
  first = new ControlInstance();
  second = new ControlInstance();
  await first.start(stop.signal);
  await second.start(stop.signal);
});

afterEach(() => stop.abort());

function follow(
  instance = 'p1',
  addresses = () => [first.address, second.address],
): FleetFollower {
  const follower = new FleetFollower(
    {
      instance,
      site: 'a',
      address: `${instance}:1`,
      addresses,
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
        memberLists.push(members.map(({instance}) => instance).join(' '));
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
  const location = {service: 'books', address: `${instance}:1`, site: 'a'};
  return {
    instance,
    ...location,
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

async function until(condition: () => boolean): Promise<void> {
  for (let checkCount = 0; checkCount < 400 && !condition(); checkCount++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  expect(condition()).toBe(true);
}

it('goes on with other updates after one that cannot be sent', async () => {
  // Guards against a leader that ends on a value of the replicated state, and
  // the next leader after it.
  const follower = follow();
  first.members = [makeMember('m1')];
  first.leads = true;
  await until(() => memberLists.at(-1) === 'm1');
  first.version = 2;
  first.routes = [makeRoute({statementMs: 2 ** 40})];
  first.leader.push();
  const count = first.leader.attached.length;
  first.usualProxies = count + 1;
  first.leader.push();
  await until(() => counts.at(-1) === count + 1);
  expect(catalogs.map(({version}) => version)).toEqual([1]);
  expect(first.logged.lines.join()).toMatch(
    /An update cannot be sent.*catalog.*invalid uint32/,
  );
  first.version = 3;
  first.routes = [makeRoute()];
  first.leader.push();
  await until(() => catalogs.at(-1)?.version === 3);
  expect(follower.isAttached).toBe(true);
});

it('finds a new leader that its settings do not name', async () => {
  // Guards against a proxy that loses control for good: all control instances
  // of its settings may have been replaced since.
  first.leads = true;
  first.controls = [first.address, second.address];
  const follower = follow('p1', () => [first.address]);
  await until(() => follower.isAttached);
  first.leads = false;
  second.leads = true;
  second.version = 2;
  first.leader.onDidLoseLeadership();
  first.leader.push();
  await until(() => catalogs.at(-1)?.version === 2);
});

it('leaves a former leader that is partitioned', async () => {
  // The control group is partitioned with the leader in the minority, and the
  // proxy reaches both parts. Staying with the former leader, it would miss all
  // changes until the partition heals.
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

it('is redirected to the leader as soon as it is elected', async () => {
  // All instances restart together, so there is no leader at first. Trying them
  // in turn after the election would take longer.
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
  // After a common restart, the elected instance has not applied all committed
  // entries. Redirected to itself, each proxy would reconnect over and over and
  // keep it from getting ready.
  first.knownLeader = first.address;
  const follower = follow();
  for (let push = 0; push < 10; push++) {
    first.leader.push();
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  const attached = first.logged.lines.filter(line => {
    return line.startsWith('A proxy attached.');
  });
  expect(attached).toHaveLength(1);
  first.leads = true;
  first.leader.push();
  await until(() => catalogs.length === 1);
  expect(follower.isAttached).toBe(true);
});

it('tries another instance while the first one is silent', async () => {
  // After a power loss, the first control instance accepts connections and
  // sends nothing. Waiting for it alone would delay the proxy.
  first.leader.onDidLoseLeadership();
  second.leads = true;
  const started = Date.now();
  follow();
  await until(() => catalogs.length === 1);
  expect(Date.now() - started).toBeLessThan(900);
});

it('sends a new catalog to a proxy with an older one', async () => {
  first.leads = true;
  follow();
  await until(() => catalogs.length === 1);
  first.version = 5;
  await until(() => catalogs.length === 2);
  expect(catalogs.map(({version}) => version)).toEqual([1, 5]);
});

it('sends no members of an earlier leadership', async () => {
  // An instance loses the leadership and regains it. List revisions start
  // again, so an encoded list from before would look current and proxies would
  // use members that are gone.
  first.leads = true;
  first.members = [makeMember('old')];
  const follower = follow();
  await until(() => memberLists.includes('old'));
  first.leads = false;
  first.leader.onDidLoseLeadership();
  await until(() => !follower.isAttached);
  first.members = [makeMember('new')];
  first.leads = true;
  await until(() => memberLists.at(-1) === 'new');
});

it('sends the poolers and each change of them', async () => {
  first.leads = true;
  first.poolers = [makePooler('p1')];
  follow('p2');
  await until(() => lists.length === 1);
  first.poolers = [makePooler('p1'), makePooler('p3')];
  await until(() => lists.length === 2);
  expect(lists[1]!.map(({instance}) => instance)).toEqual(['p1', 'p3']);
});

it('sends no proxy count before proxies had time to connect', async () => {
  // Proxies connect to a new leader one by one. With a count that is too low,
  // each would open too many connections.
  first.leads = true;
  const proxies = [follow('p1'), follow('p2')];
  await until(() => proxies.every(one => one.isAttached));
  first.leader.push();
  await new Promise(resolve => setTimeout(resolve, 400));
  expect(new Set(counts)).toEqual(new Set([0]));
  first.clock.advance(1_000);
  await until(() => counts.at(-1) === 2);
});

it('counts failure reports only of proxies with connections', async () => {
  // A primary is partitioned from its pooler. The other proxies have no
  // connection to it and never report a failure; counted in, they would outvote
  // the pooler.
  first.leads = true;
  first.poolers = [makePooler('p1')];
  const pooler = follow('p1');
  const others = [follow('p2'), follow('p3')];
  await until(() => [pooler, ...others].every(one => one.isAttached));
  pooler.report({service: 'books', instance: 'm1', trouble: 'unreachable'});
  await until(
    () => first.leader.failureReportsOf('books', 'm1').reportCount === 1,
  );
  expect(first.leader.failureReportsOf('books', 'm1').proxyCount).toBe(1);
});

it('sends the delta of a catalog, and all of it to new proxies', async () => {
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
  // The same object proves that the route was not sent again.
  expect(catalogs[1]!.routes[0]).toBe(catalogs[0]!.routes[0]);
});

it('reports a failure and its end, and nothing else', async () => {
  // All proxies reconnect to a new leader at once. A report for each healthy
  // service would overload it.
  first.leads = true;
  const follower = follow();
  await until(() => follower.isAttached);
  follower.report({service: 'books', instance: 'm1', trouble: ''});
  follower.report({service: 'films', instance: 'm2', trouble: 'unreachable'});
  follower.report({service: 'films', instance: 'm2', trouble: ''});
  const reportLines = () => {
    const {lines} = first.logged;
    return lines.filter(line =>
      line.startsWith('A proxy reported on a primary.'),
    );
  };
  await until(() => reportLines().length === 2);
  expect(reportLines().join()).not.toContain('books');
});

it('grants leases on primaries and revokes them', async () => {
  // A primary is partitioned from control and still answers some proxies. They
  // may use it only while control confirms it, and must report at once
  // that they stopped, so that another member can lead.
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

it('grants no lease without the confirmation of a majority', async () => {
  // A leader was frozen and replaced. When it resumes, it answers a proxy
  // before it learns of the new leader.
  first.board.offer(makeAssignment('m1', 7));
  first.isConfirmed = false;
  first.leads = true;
  follow();
  await until(() => catalogs.length > 0);
  await new Promise(resolve => setTimeout(resolve, 300));
  expect(leases.isHeld('books', 7)).toBe(false);
});

it('sends the recorded proxy count before proxies have connected', async () => {
  // All machines restart. The first proxies would open the connections of those
  // that are still starting.
  first.usualProxies = 9;
  first.leads = true;
  follow();
  await until(() => counts.length > 0);
  expect(counts[0]).toBe(9);
});

it('sends shares to a counter and receives its usage', async () => {
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

it('records a confirmed renewal before the counter relies on it', async () => {
  // A counter extends its shares when a renewal is confirmed. If control
  // recorded this later than the counter, it would reassign shares that are
  // still in use.
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

it('extends no shares without the confirmation of a majority', async () => {
  // A leader was frozen and replaced. If it could extend the shares of a
  // counter, the new leader could assign them twice.
  first.isConfirmed = false;
  first.leads = true;
  follow();
  await until(() => catalogs.length > 0);
  await new Promise(resolve => setTimeout(resolve, 600));
  expect(counter.leaseExtensionCount).toBe(0);
  expect(first.allocator.calls).not.toContain('renewed p1');
});

it('reports held shares to a leader that was elected meanwhile', async () => {
  // A counter with shares waits for an election. The new leader has to know its
  // shares before it assigns any.
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

it('sends the counters and each change of them', async () => {
  first.leads = true;
  first.counters = [makeCounter('p1')];
  follow('p2');
  await until(() => counterLists.length === 1);
  first.counters = [makeCounter('p1'), makeCounter('p3')];
  await until(() => counterLists.length === 2);
  expect(counterLists).toEqual(['p1', 'p1 p3']);
});

import {afterEach, beforeEach, expect, it} from 'vitest';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {MessageServer} from '../../../../base/node/message_server';
import {every} from '../../../../base/node/timers';
import type {Member} from '../../../../schema/generated/fleet';
import {AccountCounter} from '../../../account/common/account_counter';
import {LimitAllocator} from '../../../account/common/limit_allocator';
import {CatalogLease} from '../../../account/common/catalog_lease';
import {FleetFollower} from '../../../fleet_link/node/fleet_follower';
import {FleetLeader} from '../../../fleet_link/node/fleet_leader';
import {
  makeCatalog,
  makeLog,
  makeRoute,
} from '../../../gateway/test/node/session_fixture';
import {PublishedPrimaries} from '../../../lease/common/published_primaries';
import {PrimaryLeases} from '../../../lease/common/primary_leases';
import {LeaseHolders} from '../../../lease/common/lease_holders';
import {ConnectionQuota} from '../../common/connection_quota';
import {ConnectionAllocation} from '../../common/connection_allocation';

const MEMBER: Member = {
  ...{instance: 'm1', service: 'books', address: 'm1:1', site: 'a', slots: 2},
  ...{draining: false, role: 1, born: 0, recovering: false},
};

const clock = new MonotonicClock();
let stop: AbortController;
let address: string;
let lines: readonly string[];

beforeEach(async () => {
  stop = new AbortController();
  const logged = makeLog();
  ({lines} = logged);
  const catalog = makeCatalog([makeRoute()]);
  const poolers = ['p1', 'p2'].map(instance => {
    return {service: 'books', instance, site: 'a', address: `${instance}:1`};
  });
  const publishedPrimaries = new PublishedPrimaries();
  const allocator = new LimitAllocator(0);
  const holders = new LeaseHolders(-Infinity);
  const allocation: ConnectionAllocation = new ConnectionAllocation({
    catalog: () => catalog,
    members: () => [MEMBER],
    membersRevision: () => 1,
    poolers: () => poolers,
    capacities: () => leader.attached.map(({capacity}) => capacity),
  });
  const leader: FleetLeader = new FleetLeader(
    {
      isLeading: () => true,
      leaderAddress: () => '',
      ownAddress: () => 'own',
      controlAddresses: () => [],
      catalog: () => catalog,
      members: () => [MEMBER],
      membersRevision: () => 1,
      poolers: () => poolers,
      poolersRevision: () => 1,
      expectedProxyCount: () => 0,
      publishedPrimaries: () => publishedPrimaries,
      holders: () => holders,
      counters: () => [],
      shares: () => allocator,
      connectionAllocator: () => allocation.currentAllocator,
      confirm: () => Promise.resolve(true),
    },
    clock,
    logged.log,
  );
  allocation.onDidBecomeLeader(clock.now());
  every(stop.signal, 50, () => allocation.checkCapacities());
  const server = new MessageServer(makeLog().log);
  leader.serve(server);
  const port = await server.listen('127.0.0.1:0', stop.signal);
  if (port.isErr) throw port.error;
  address = `127.0.0.1:${port.value}`;
  leader.start(stop.signal);
});

afterEach(() => stop.abort());

function follow(instance: string, cores: number) {
  const ended = new AbortController();
  stop.signal.addEventListener('abort', () => ended.abort());
  const quota = new ConnectionQuota(clock);
  const follower = new FleetFollower(
    {
      instance,
      site: 'a',
      address: `${instance}:1`,
      addresses: () => [address],
      leases: new PrimaryLeases(clock),
      catalogLease: new CatalogLease(5_000, clock),
      counter: new AccountCounter(clock),
      capacity: {cores, linkMbps: 0},
      connectionQuota: quota,
    },
    {
      onDidReceiveCatalog: () => {},
      onDidReceiveMembers: () => {},
      onDidReceiveAssignments: () => {},
      onDidConfirmCatalog: () => {},
      onDidReceivePoolers: () => {},
      onDidReceiveCounters: () => {},
    },
    makeLog().log,
    ended.signal,
  );
  follower.start();
  const limit = () => quota.limitOf('books', 'm1', 7) ?? 0;
  const use = (wanted: number) => {
    quota.updateUse('books', 'm1', {open: limit(), wanted});
  };
  return {follower, quota, use, limit, end: () => ended.abort()};
}

async function until(holds: () => boolean, timeoutMs = 4_000): Promise<void> {
  const startedAt = clock.now();
  while (!holds() && clock.now() - startedAt < timeoutMs) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  expect(holds()).toBe(true);
}

it('moves the grant of a lost pooler within 300 ms', async () => {
  // Both poolers want more connections than the member accepts.
  const [lost, other] = [follow('p1', 1), follow('p2', 2)];
  for (const {use} of [lost, other]) use(14);
  await until(
    () => lost.quota.isReportRequested && other.quota.isReportRequested,
  );
  for (const {use} of [lost, other]) use(14);
  await until(() => lost.limit() > 0 && other.limit() > 0);
  expect(lost.limit() + other.limit()).toBeLessThanOrEqual(12);
  lost.end();
  await until(() => other.limit() === 12, 300);
  expect(lines.join()).toContain('"reason":"pooler left"');
});

it('sends no reports where instances have equal capacity', async () => {
  const both = [follow('p1', 1), follow('p2', 1)];
  for (const {use} of both) use(14);
  await until(() => both.every(({follower}) => follower.isAttached));
  await new Promise(resolve => setTimeout(resolve, 600));
  for (const {quota, limit} of both) {
    expect(quota.isReportRequested).toBe(false);
    expect(quota.takeReport().connections).toEqual([]);
    expect(limit()).toBe(0);
  }
});

import {afterEach, beforeEach, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {createServer, listen} from '../../../../base/node/grpc';
import {
  FleetService,
  type Catalog,
  type PoolerEntry,
} from '../../../../schema/generated/fleet';
import {
  makeCatalog,
  makeLog,
  makeRoute,
} from '../../../gateway/test/node/session_fixture';
import {FleetFollower} from '../../node/fleet_follower';
import {FleetLeader} from '../../node/fleet_leader';

/** A control instance, as far as its proxies see it. */
class Instance {
  leads = false;
  knownLeader = '';
  version = 1;
  address = '';
  /** Connections that a member takes from all proxies. */
  connections = 16;
  readonly clock = new ManualClock();
  readonly leader: FleetLeader;

  constructor() {
    this.leader = new FleetLeader(
      {
        isLeading: () => this.leads,
        leaderAddress: () => this.knownLeader,
        catalog: () => this.catalog(),
        members: () => [],
        membersRevision: () => 1,
      },
      this.clock,
      makeLog().log,
    );
  }

  private catalog(): Catalog {
    const {connections, version} = this;
    const services = [{service: 'books', connections, confirmations: 1}];
    return makeCatalog([makeRoute()], {version, services});
  }

  async start(signal: AbortSignal): Promise<void> {
    const server = createServer();
    server.addService(FleetService, this.leader.handlers);
    const port = await listen(server, '127.0.0.1:0', signal);
    if (port.isErr) throw port.error;
    this.address = `127.0.0.1:${port.value}`;
    this.leader.start(signal);
  }
}

let stop: AbortController;
let first: Instance;
let second: Instance;
let catalogs: Catalog[];
let lists: PoolerEntry[][];

beforeEach(async () => {
  stop = new AbortController();
  catalogs = [];
  lists = [];
  first = new Instance();
  second = new Instance();
  await first.start(stop.signal);
  await second.start(stop.signal);
});

afterEach(() => stop.abort());

function follow(instance = 'p1', pooled: string[] = []): FleetFollower {
  const follower = new FleetFollower(
    {
      instance,
      site: 'a',
      address: `${instance}:1`,
      pooledServices: () => pooled,
      addresses: () => [first.address, second.address],
      catalogVersion: () => catalogs.at(-1)?.version ?? 0,
    },
    {
      onDidReceiveCatalog: catalog => catalogs.push(catalog),
      onDidReceiveMembers: () => {},
      onDidReceivePoolers: ({poolers}) => lists.push(poolers),
    },
    makeLog().log,
    stop.signal,
  );
  follower.start();
  return follower;
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
  first.leader.onDidLoseLead();
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

it('sends a change to the proxies that have an older one', async () => {
  first.leads = true;
  follow();
  await until(() => catalogs.length === 1);
  first.version = 5;
  await until(() => catalogs.length === 2);
  expect(catalogs.map(({version}) => version)).toEqual([1, 5]);
});

it('names poolers once the proxies of a new leader had time to come', async () => {
  // Control elects another leader. If it named poolers with the first proxies
  // that come back, those that keep the connections now would be left out, and
  // all connections of the service would be closed and opened anew.
  first.leads = true;
  first.connections = 3;
  const [one, other] = [follow('p2'), follow('p1', ['books'])];
  await until(() => one.isAttached && other.isAttached);
  first.leader.push();
  expect(lists).toEqual([]);
  first.clock.advance(1_000);
  await until(() => lists.length === 2);
  expect(lists[0]!.map(({instance}) => instance)).toEqual(['p1']);
});

it('counts complaints of those that have connections to judge by', async () => {
  // A primary is cut off from its pooler. The other proxies have no connection
  // to it and never complain; counted in, they would outvote the pooler.
  first.leads = true;
  first.connections = 3;
  const pooler = follow('p1', ['books']);
  const others = [follow('p2'), follow('p3')];
  await until(() => [pooler, ...others].every(one => one.isAttached));
  first.clock.advance(1_000);
  await until(() => lists.length === 3);
  pooler.report({service: 'books', instance: 'm1', trouble: 'unreachable'});
  await until(() => first.leader.complaintsOf('books', 'm1').complaints === 1);
  expect(first.leader.complaintsOf('books', 'm1').proxies).toBe(1);
});

import {afterEach, beforeEach, expect, it} from 'vitest';
import {digestOfKey} from '../../../account/node/key_digest';
import {FakeGroup} from '../../../gateway/test/node/fake_group';
import {
  BEGIN,
  TestCaller,
  COMMIT,
  makeCatalog,
  makeRoute,
  TestGateway,
  WRITE,
} from '../../../gateway/test/node/session_fixture';
import {ConnectionQuota} from '../../../connection_quota/common/connection_quota';

let group: FakeGroup;
let gateway: TestGateway;
let room: ConnectionQuota;

beforeEach(() => {
  group = new FakeGroup(['a', 'b']);
  gateway = new TestGateway(group, makeCatalog([makeRoute()]));
  ({room} = gateway);
  room.onDidAttach();
  room.extendLease(gateway.clock.now());
});

afterEach(() => gateway.stop.abort());

let number = 0;

function grant(connections: number): void {
  const grants = [{service: 'books', instance: 'a', connections}];
  room.setGrants({grants, number: ++number});
}

const rest = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

it('are no more than control granted, and given back when that falls', async () => {
  // Members reset what is beyond their cap, and the statements on it are run
  // again elsewhere. An instance keeps what it opened in a burst, rested or
  // not, while control gives the same connections to another one.
  grant(4);
  const callers = [...Array(8).keys()].map(() => new TestCaller(gateway, 'db'));
  const begin = async (caller: TestCaller) => {
    await caller.send(BEGIN);
    return caller.send(WRITE);
  };
  const begun = callers.map(begin);
  await rest(200);
  expect(group.member('a').connectionCount).toBe(4);
  grant(1);
  await rest(120);
  // Work under way goes on; what rests after it is closed.
  expect(group.member('a').connectionCount).toBe(4);
  for (const caller of callers) void caller.send(COMMIT);
  await Promise.all(begun);
  // At once, and not after the rest that surplus ones have otherwise.
  await rest(100);
  expect(group.member('a').connectionCount).toBe(1);
});

it('are not kept by instances that are no poolers', async () => {
  // Proxies open one to each primary before control names the poolers. 18 of
  // 24 kept theirs for nothing; of 47 that the member takes, the poolers had
  // 29 to serve a burst with.
  await rest(150);
  const pooler = {service: 'books', instance: 'p2', site: 's', address: 'p2:1'};
  gateway.gateway.setPoolers({poolers: [pooler]});
  await rest(1_300);
  expect(group.member('a').connectionCount).toBe(1);
  room.setGrants({grants: [], number: ++number});
  await rest(1_300);
  expect(group.member('a').connectionCount).toBe(0);
});

it('are wanted for each account that worked just now', async () => {
  // Twelve accounts take turns, and each connection serves one of them only.
  // Counted by what runs at a time, the instance was granted two, and each
  // request waited for an opening.
  const names = [...Array(12).keys()].map(at => `account-${at}`);
  const accounts = names.map(account => {
    return {account, keyDigests: [digestOfKey(account)], limit: undefined};
  });
  const routes = [makeRoute({name: 'r2', database: 'keyed', keyed: true})];
  gateway.gateway.setCatalog(makeCatalog(routes, {version: 2, accounts}));
  gateway.catalogLease.extendLease(gateway.clock.now());
  grant(14);
  for (const name of names) {
    await new TestCaller(gateway, 'keyed', name).send(WRITE);
  }
  await rest(100);
  const use = room.views.find(({instance}) => instance === 'a');
  expect(use!.wanted).toBeGreaterThanOrEqual(12);
});

it('are told to control with what waits for one', async () => {
  grant(2);
  const callers = [...Array(5).keys()].map(() => new TestCaller(gateway, 'db'));
  for (const caller of callers) {
    void caller.send(BEGIN).then(() => caller.send(WRITE));
  }
  await rest(150);
  const use = room.views.find(({instance}) => instance === 'a');
  expect(use).toMatchObject({open: 2, wanted: 5, granted: 2});
});

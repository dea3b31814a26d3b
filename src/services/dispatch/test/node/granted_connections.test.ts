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

let grantsNumber = 0;

function grant(connections: number): void {
  const grants = [{service: 'books', instance: 'a', connections}];
  room.setGrants({grants, number: ++grantsNumber});
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

it('keeps connections within a grant, also after it shrinks', async () => {
  // Control grants the same connections to another instance; members reset
  // connections beyond their limit, and the statements on them fail.
  grant(4);
  const callers = [...Array(8).keys()].map(() => new TestCaller(gateway, 'db'));
  const begin = async (caller: TestCaller) => {
    await caller.send(BEGIN);
    return caller.send(WRITE);
  };
  const started = callers.map(begin);
  await sleep(200);
  expect(group.member('a').connectionCount).toBe(4);
  grant(1);
  await sleep(120);
  // Running transactions continue; idle connections are closed.
  expect(group.member('a').connectionCount).toBe(4);
  for (const caller of callers) void caller.send(COMMIT);
  await Promise.all(started);
  // At once, without the idle timeout of surplus connections.
  await sleep(100);
  expect(group.member('a').connectionCount).toBe(1);
});

it('keeps no idle connections on instances that are not poolers', async () => {
  // Connections from before control assigned the poolers would stay open and
  // be missing to the poolers in a burst.
  await sleep(150);
  const pooler = {service: 'books', instance: 'p2', site: 's', address: 'p2:1'};
  gateway.gateway.setPoolers({poolers: [pooler]});
  await sleep(1_300);
  expect(group.member('a').connectionCount).toBe(1);
  room.setGrants({grants: [], number: ++grantsNumber});
  await sleep(1_300);
  expect(group.member('a').connectionCount).toBe(0);
});

it('requests a connection for each recently active account', async () => {
  // Each connection serves one account only. With a demand of the running
  // transactions alone, each request would have to wait for a connect.
  const names = [...Array(12).keys()].map(index => `account-${index}`);
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
  await sleep(100);
  const use = room.views.find(({instance}) => instance === 'a');
  expect(use!.wanted).toBeGreaterThanOrEqual(12);
});

it('reports queued requests as demand to control', async () => {
  grant(2);
  const callers = [...Array(5).keys()].map(() => new TestCaller(gateway, 'db'));
  for (const caller of callers) {
    void caller.send(BEGIN).then(() => caller.send(WRITE));
  }
  await sleep(150);
  const use = room.views.find(({instance}) => instance === 'a');
  expect(use).toMatchObject({open: 2, wanted: 5, granted: 2});
});

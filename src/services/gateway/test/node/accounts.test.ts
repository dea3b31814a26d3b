import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import type {AccountEntry, Catalog} from '../../../../schema/generated/fleet';
import {CatalogLease} from '../../../account/common/catalog_lease';
import {digestOfKey} from '../../../account/node/key_digest';
import {FakeGroup} from './fake_group';
import {FakeLimits} from './fake_limits';
import {
  BEGIN,
  TestCaller,
  COMMIT,
  ROLLBACK,
  makeCatalog,
  makeRoute,
  READ,
  TestGateway,
  WRITE,
} from './session_fixture';

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Short, for the tests in which the lease on the catalog runs out. */
const BOUND_MS = 400;
/** Longer than any test takes. */
const LONG_BOUND_MS = 60_000;

const clock = new MonotonicClock();

let group: FakeGroup;
let gateway: TestGateway;
let lease: CatalogLease;
let limits: FakeLimits;

/** An account whose keys are its name with a number behind. */
function makeAccount(account: string, keys = 1): AccountEntry {
  const keyDigests = Array.from({length: keys}, (...[, at]) => {
    return digestOfKey(`${account}-key-${at}`);
  });
  return {account, keyDigests, limit: undefined};
}

function makeAccounts(
  version: number,
  accounts: AccountEntry[],
  over: Partial<Catalog> = {},
): Catalog {
  const routes = [
    makeRoute({keyed: true}),
    makeRoute({name: 'r2', database: 'open'}),
  ];
  return makeCatalog(routes, {version, accounts, ...over});
}

function confirm(): void {
  lease.extendLease(clock.now());
  gateway.gateway.notifyCatalogConfirmed();
}

function setUp(boundMs = LONG_BOUND_MS): void {
  group = new FakeGroup(['a', 'b', 'c']);
  const catalog = makeAccounts(1, [makeAccount('fern', 2), makeAccount('oak')]);
  lease = new CatalogLease(boundMs, clock);
  limits = new FakeLimits();
  gateway = new TestGateway(group, catalog, {catalogLease: lease, limits});
  confirm();
}

beforeEach(() => setUp());

afterEach(() => gateway.stop.abort());

const denialOf = (database: string, key: string) => {
  const admitted = gateway.gateway.admit(database, key);
  return admitted.isErr ? admitted.error : undefined;
};

describe('a caller of a keyed database', () => {
  it('runs under the name of its account, and its key goes nowhere', async () => {
    const caller = new TestCaller(gateway, 'db', 'fern-key-1');
    await caller.send(WRITE);
    expect(group.executed.map(({user}) => user)).toEqual(['fern']);
    expect(gateway.captured.lines.join()).not.toContain('fern-key');
  });

  it('gives its key away nowhere else, where none is asked for', async () => {
    const caller = new TestCaller(gateway, 'open', 'fern-key-1');
    gateway.group.member('a').isDown = true;
    gateway.group.member('b').isDown = true;
    gateway.group.member('c').isDown = true;
    await caller.send(WRITE);
    expect(gateway.captured.lines.join()).toContain('Refused, not run.');
    expect(gateway.captured.lines.join()).not.toContain('fern-key');
  });

  it('is turned away with a key that no account holds', () => {
    expect(denialOf('db', 'nobody')).toBe('not authorized');
    expect(denialOf('db', '')).toBe('not authorized');
    expect(denialOf('open', 'nobody')).toBeUndefined();
  });

  it('learns of databases only with a key', () => {
    expect(denialOf('no-such', 'nobody')).toBe('not authorized');
    expect(denialOf('no-such', 'oak-key-0')).toBe('unknown database');
  });

  it('never uses the connection of another account', async () => {
    // A member holds each connection to the account that it was opened for.
    // With one connection in all, the second account's work must wait for its
    // own instead of running under the first one's name.
    group.maxConnections = 1;
    const fern = new TestCaller(gateway, 'db', 'fern-key-0');
    const oak = new TestCaller(gateway, 'db', 'oak-key-0');
    await fern.send(WRITE);
    await oak.send(WRITE);
    await fern.send(WRITE);
    expect(group.executed.map(({user}) => user)).toEqual([
      'fern',
      'oak',
      'fern',
    ]);
  });
});

describe('connections of accounts, by class', () => {
  it('serve what they were opened for before they are closed', async () => {
    // One connection to the primary, and two accounts that want it. While one
    // is opened for a patient write, an urgent one comes. The new connection
    // was closed unused for it, and opened once more afterwards: with many
    // accounts in the queue the member did little but open connections.
    const routes = [
      makeRoute({keyed: true, priority: 2}),
      makeRoute({keyed: true, name: 'r2', database: 'urgent', priority: 0}),
    ];
    const services = [{service: 'books', connections: 1, confirmations: 1}];
    const accounts = [makeAccount('fern'), makeAccount('oak')];
    group = new FakeGroup(['a', 'b', 'c']);
    lease = new CatalogLease(LONG_BOUND_MS, clock);
    gateway = new TestGateway(
      group,
      makeCatalog(routes, {version: 1, accounts, services}),
      {catalogLease: lease},
    );
    confirm();
    await pause(20);
    const member = group.member('a');
    const before = member.openCount;
    member.openDelayMs = 40;
    const patient = new TestCaller(gateway, 'db', 'fern-key-0');
    const urgent = new TestCaller(gateway, 'urgent', 'oak-key-0');
    const first = patient.send(WRITE);
    await pause(10);
    const second = urgent.send(WRITE);
    expect((await first).result.kind).toBe('done');
    expect((await second).result.kind).toBe('done');
    expect(member.openCount - before).toBe(2);
  });
});

describe('a withdrawn key', () => {
  it('ends the transaction that is under way with it', async () => {
    // A caller has written inside a transaction when the operator withdraws
    // its key. The commit must not go through, and the caller is told why.
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    await caller.send(BEGIN);
    await caller.send(WRITE);
    gateway.gateway.setCatalog(makeAccounts(2, [makeAccount('fern', 2)]));
    const reply = await caller.send(COMMIT);
    expect(reply).toMatchObject({
      state: 'idle',
      result: {failure: 'not authorized'},
    });
    expect(caller.isClosed).toBe(true);
    expect(group.callerStatements.some(run => run.includes('commit'))).toBe(
      false,
    );
  });

  it('closes the session that rests with it', async () => {
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    await caller.send(READ);
    gateway.gateway.setCatalog(makeAccounts(2, []));
    await new Promise(resolve => setTimeout(resolve, 20));
    expect(caller.isClosed).toBe(true);
  });

  it('serves no more although its account has another key', async () => {
    const caller = new TestCaller(gateway, 'db', 'fern-key-1');
    await caller.send(READ);
    gateway.gateway.setCatalog(makeAccounts(2, [makeAccount('fern', 1)]));
    const reply = await caller.send(READ);
    expect(reply.result).toMatchObject({failure: 'not authorized'});
    expect(denialOf('db', 'fern-key-0')).toBeUndefined();
  });

  it('serves again once it is given back, within a second', async () => {
    gateway.gateway.setCatalog(makeAccounts(2, []));
    expect(denialOf('db', 'oak-key-0')).toBe('unknown database');
    gateway.gateway.setCatalog(makeAccounts(3, [makeAccount('oak')]));
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    expect((await caller.send(READ)).result.kind).toBe('done');
  });

  it('that went to another account runs for neither in old sessions', async () => {
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    await caller.send(READ);
    const moved = {...makeAccount('oak'), account: 'elm'};
    gateway.gateway.setCatalog(makeAccounts(2, [moved]));
    const reply = await caller.send(READ);
    expect(reply.result).toMatchObject({failure: 'not authorized'});
  });
});

describe('an instance without word from control', () => {
  beforeEach(() => {
    gateway.stop.abort();
    setUp(BOUND_MS);
  });

  it('refuses keyed work as not run, and serves open databases', async () => {
    // The instance is cut off. Whether keys were withdrawn meanwhile it cannot
    // know, so once its lease on the catalog is over a key proves nothing.
    const keyed = new TestCaller(gateway, 'db', 'oak-key-0');
    const open = new TestCaller(gateway, 'open', 'anybody');
    await keyed.send(READ);
    await new Promise(resolve => setTimeout(resolve, BOUND_MS));
    const refused = await keyed.send(READ);
    expect(refused.result).toMatchObject({failure: 'busy'});
    expect(denialOf('db', 'oak-key-0')).toBe('unconfirmed');
    expect((await open.send(READ)).result.kind).toBe('done');
    expect(gateway.gateway.isReady).toBe(false);
    confirm();
    expect((await keyed.send(READ)).result.kind).toBe('done');
  });

  it('commits nothing of a transaction that began before', async () => {
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    await caller.send(BEGIN);
    await caller.send(WRITE);
    await new Promise(resolve => setTimeout(resolve, BOUND_MS));
    const reply = await caller.send(COMMIT);
    expect(reply.result).toMatchObject({failure: 'aborted'});
    expect(group.callerStatements.some(run => run.includes('commit'))).toBe(
      false,
    );
  });
});

describe('the limit of an account', () => {
  it('counts each statement, and a transaction once', async () => {
    const caller = new TestCaller(gateway, 'db', 'fern-key-0');
    await caller.send(READ);
    await caller.send(BEGIN);
    await caller.send(WRITE);
    await caller.send(READ);
    await caller.send(COMMIT);
    await caller.send(BEGIN);
    await caller.send(ROLLBACK);
    expect(limits.admitted).toEqual(['fern', 'fern']);
    expect(limits.refunded).toEqual([]);
  });

  it('refuses what is beyond it as not run, with a time', async () => {
    const caller = new TestCaller(gateway, 'db', 'fern-key-0');
    limits.left = 0;
    const reply = await caller.send(WRITE);
    expect(reply).toMatchObject({state: 'idle', result: {failure: 'busy'}});
    expect(JSON.stringify(reply)).toMatch(/over its limit, retry after 70 ms/);
    expect(group.executed).toEqual([]);
    expect(gateway.captured.lines.join()).toContain('counter=p2');
  });

  it('refuses a transaction with its first statement, whole', async () => {
    // A transaction that is refused half way would have used a place for
    // nothing; one that went on after its refusal would commit a part of it.
    const caller = new TestCaller(gateway, 'db', 'fern-key-0');
    limits.left = 0;
    await caller.send(BEGIN);
    const refused = await caller.send(WRITE);
    expect(refused).toMatchObject({state: 'failed', result: {failure: 'busy'}});
    limits.left = 5;
    expect((await caller.send(WRITE)).state).toBe('failed');
    const committed = await caller.send(COMMIT);
    expect(committed.result).toMatchObject({failure: 'aborted'});
    expect(group.executed).toEqual([]);
    expect(limits.admitted).toEqual([]);
  });

  it('refuses a commit alone, as not run', async () => {
    const caller = new TestCaller(gateway, 'db', 'fern-key-0');
    limits.left = 0;
    await caller.send(BEGIN);
    const refused = await caller.send(COMMIT);
    expect(refused).toMatchObject({state: 'idle', result: {failure: 'busy'}});
  });

  it('counts nothing that did not run', async () => {
    // No member can be reached. Callers come again with what was refused, and
    // would use up their limit with operations that never ran.
    for (const instance of ['a', 'b', 'c']) {
      group.member(instance).isDown = true;
    }
    const caller = new TestCaller(gateway, 'db', 'fern-key-0');
    const single = await caller.send(WRITE);
    expect(single.result).toMatchObject({failure: 'busy'});
    await caller.send(BEGIN);
    const first = await caller.send(WRITE);
    expect(first.result).toMatchObject({failure: 'busy'});
    expect(limits.admitted).toHaveLength(2);
    expect(limits.refunded).toEqual(['fern', 'fern']);
  });
});

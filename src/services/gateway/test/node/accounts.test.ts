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

/** Short, for tests in which the catalog lease expires. */
const REVOCATION_MS = 400;
/** Longer than any test takes. */
const LONG_REVOCATION_MS = 60_000;

const clock = new MonotonicClock();

let group: FakeGroup;
let gateway: TestGateway;
let lease: CatalogLease;
let limits: FakeLimits;

/** Creates an account with the keys NAME-key-0, NAME-key-1 and so on. */
function makeAccount(account: string, keys = 1): AccountEntry {
  const keyDigests = Array.from({length: keys}, (...[, at]) => {
    return digestOfKey(`${account}-key-${at}`);
  });
  return {account, keyDigests, limit: undefined};
}

function makeAccountCatalog(
  version: number,
  accounts: AccountEntry[],
  overrides: Partial<Catalog> = {},
): Catalog {
  const routes = [
    makeRoute({keyed: true}),
    makeRoute({name: 'r2', database: 'open'}),
  ];
  return makeCatalog(routes, {version, accounts, ...overrides});
}

function confirmCatalog(): void {
  lease.extendLease(clock.now());
  gateway.gateway.notifyCatalogConfirmed();
}

function setUp(revocationMs = LONG_REVOCATION_MS): void {
  group = new FakeGroup(['a', 'b', 'c']);
  const catalog = makeAccountCatalog(1, [
    makeAccount('fern', 2),
    makeAccount('oak'),
  ]);
  lease = new CatalogLease(revocationMs, clock);
  limits = new FakeLimits();
  gateway = new TestGateway(group, catalog, {catalogLease: lease, limits});
  confirmCatalog();
}

beforeEach(() => setUp());

afterEach(() => gateway.stop.abort());

const denialOf = (database: string, key: string) => {
  const admitted = gateway.gateway.admit(database, key);
  return admitted.isErr ? admitted.error : undefined;
};

describe('a caller of a keyed database', () => {
  it('runs as the user of its account, and its key is not logged', async () => {
    const caller = new TestCaller(gateway, 'db', 'fern-key-1');
    await caller.send(WRITE);
    expect(group.executed.map(({user}) => user)).toEqual(['fern']);
    expect(gateway.captured.lines.join()).not.toContain('fern-key');
  });

  it('keeps its key out of the log of a database without keys', async () => {
    const caller = new TestCaller(gateway, 'open', 'fern-key-1');
    gateway.group.member('a').isDown = true;
    gateway.group.member('b').isDown = true;
    gateway.group.member('c').isDown = true;
    await caller.send(WRITE);
    expect(gateway.captured.lines.join()).toContain('Refused, not run.');
    expect(gateway.captured.lines.join()).not.toContain('fern-key');
  });

  it('is rejected with a key that no account holds', () => {
    expect(denialOf('db', 'nobody')).toBe('not authorized');
    expect(denialOf('db', '')).toBe('not authorized');
    expect(denialOf('open', 'nobody')).toBeUndefined();
  });

  it('learns which databases exist only with a valid key', () => {
    expect(denialOf('no-such', 'nobody')).toBe('not authorized');
    expect(denialOf('no-such', 'oak-key-0')).toBe('unknown database');
  });

  it('never uses the connection of another account', async () => {
    // Members authorize each connection for one account. Sharing one would run
    // statements with another account's rights.
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
  it('serve the request they were opened for before they are closed', async () => {
    // Closing an unused new connection in favour of a more urgent account makes
    // a member do little but open connections when many accounts are queued.
    const routes = [
      makeRoute({keyed: true, priority: 2}),
      makeRoute({keyed: true, name: 'r2', database: 'urgent', priority: 0}),
    ];
    const services = [{service: 'books', connections: 1, confirmations: 1}];
    const accounts = [makeAccount('fern'), makeAccount('oak')];
    group = new FakeGroup(['a', 'b', 'c']);
    lease = new CatalogLease(LONG_REVOCATION_MS, clock);
    gateway = new TestGateway(
      group,
      makeCatalog(routes, {version: 1, accounts, services}),
      {catalogLease: lease},
    );
    confirmCatalog();
    await pause(20);
    const member = group.member('a');
    const before = member.openCount;
    member.openDelayMs = 40;
    const lowPriority = new TestCaller(gateway, 'db', 'fern-key-0');
    const urgent = new TestCaller(gateway, 'urgent', 'oak-key-0');
    const first = lowPriority.send(WRITE);
    await pause(10);
    const second = urgent.send(WRITE);
    expect((await first).result.kind).toBe('done');
    expect((await second).result.kind).toBe('done');
    expect(member.openCount - before).toBe(2);
  });
});

describe('a withdrawn key', () => {
  it('aborts the open transaction of its caller', async () => {
    // Otherwise a commit succeeds after the key was withdrawn.
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    await caller.send(BEGIN);
    await caller.send(WRITE);
    gateway.gateway.setCatalog(makeAccountCatalog(2, [makeAccount('fern', 2)]));
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

  it('closes the idle session of its caller', async () => {
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    await caller.send(READ);
    gateway.gateway.setCatalog(makeAccountCatalog(2, []));
    await new Promise(resolve => setTimeout(resolve, 20));
    expect(caller.isClosed).toBe(true);
  });

  it('is rejected although its account has another key', async () => {
    const caller = new TestCaller(gateway, 'db', 'fern-key-1');
    await caller.send(READ);
    gateway.gateway.setCatalog(makeAccountCatalog(2, [makeAccount('fern', 1)]));
    const reply = await caller.send(READ);
    expect(reply.result).toMatchObject({failure: 'not authorized'});
    expect(denialOf('db', 'fern-key-0')).toBeUndefined();
  });

  it('is accepted again once it is restored', async () => {
    gateway.gateway.setCatalog(makeAccountCatalog(2, []));
    expect(denialOf('db', 'oak-key-0')).toBe('unknown database');
    gateway.gateway.setCatalog(makeAccountCatalog(3, [makeAccount('oak')]));
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    expect((await caller.send(READ)).result.kind).toBe('done');
  });

  it('ends old sessions when it was moved to another account', async () => {
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    await caller.send(READ);
    const moved = {...makeAccount('oak'), account: 'elm'};
    gateway.gateway.setCatalog(makeAccountCatalog(2, [moved]));
    const reply = await caller.send(READ);
    expect(reply.result).toMatchObject({failure: 'not authorized'});
  });
});

describe('an instance with an expired catalog lease', () => {
  beforeEach(() => {
    gateway.stop.abort();
    setUp(REVOCATION_MS);
  });

  it('refuses databases with keys and serves others', async () => {
    // A disconnected instance cannot know whether a key was withdrawn.
    const keyed = new TestCaller(gateway, 'db', 'oak-key-0');
    const open = new TestCaller(gateway, 'open', 'anybody');
    await keyed.send(READ);
    await new Promise(resolve => setTimeout(resolve, REVOCATION_MS));
    const refused = await keyed.send(READ);
    expect(refused.result).toMatchObject({failure: 'busy'});
    expect(denialOf('db', 'oak-key-0')).toBe('unconfirmed');
    expect((await open.send(READ)).result.kind).toBe('done');
    expect(gateway.gateway.isReady).toBe(false);
    confirmCatalog();
    expect((await keyed.send(READ)).result.kind).toBe('done');
  });

  it('commits no transaction that began before', async () => {
    const caller = new TestCaller(gateway, 'db', 'oak-key-0');
    await caller.send(BEGIN);
    await caller.send(WRITE);
    await new Promise(resolve => setTimeout(resolve, REVOCATION_MS));
    const reply = await caller.send(COMMIT);
    expect(reply.result).toMatchObject({failure: 'aborted'});
    expect(group.callerStatements.some(run => run.includes('commit'))).toBe(
      false,
    );
  });
});

describe('the limit of an account', () => {
  it('charges each statement, and a transaction once', async () => {
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

  it('refuses operations over it with a retry delay', async () => {
    const caller = new TestCaller(gateway, 'db', 'fern-key-0');
    limits.left = 0;
    const reply = await caller.send(WRITE);
    expect(reply).toMatchObject({state: 'idle', result: {failure: 'busy'}});
    expect(JSON.stringify(reply)).toMatch(/over its limit, retry after 70 ms/);
    expect(group.executed).toEqual([]);
    expect(gateway.captured.lines.join()).toContain('counter=p2');
  });

  it('refuses a whole transaction with its first statement', async () => {
    // A transaction refused later would waste its connection, and one that
    // continued after a refusal would commit only a part of its writes.
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

  it('refuses an empty transaction with its commit', async () => {
    const caller = new TestCaller(gateway, 'db', 'fern-key-0');
    limits.left = 0;
    await caller.send(BEGIN);
    const refused = await caller.send(COMMIT);
    expect(refused).toMatchObject({state: 'idle', result: {failure: 'busy'}});
  });

  it('refunds operations that did not run', async () => {
    // Otherwise retries while no member is reachable use the limit up.
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

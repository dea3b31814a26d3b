import {afterEach, describe, expect, it, vi} from 'vitest';
import {Consistency} from '../../../../schema/generated/fleet';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {PrimaryLeases} from '../../../lease/common/primary_leases';
import {makeAssignment, renew} from '../../../lease/test/common/lease_fixture';
import {FakeGroup} from './fake_group';
import {
  BEGIN,
  BEGIN_READ,
  TestCaller,
  COMMIT,
  makeCatalog,
  makeRoute,
  membersOf,
  READ,
  ROLLBACK,
  TestGateway,
  WRITE,
} from './session_fixture';

let gateway: TestGateway;

function setUp(route = makeRoute(), overrides = {}) {
  const group = new FakeGroup(['a', 'b', 'c']);
  gateway = new TestGateway(group, makeCatalog([route], overrides));
  return {group, caller: new TestCaller(gateway, 'db')};
}

/** Creates a session at a gateway whose leases only the test renews. */
function setUpWithLeases(leases: PrimaryLeases, route = makeRoute()) {
  const group = new FakeGroup(['a', 'b', 'c']);
  gateway = new TestGateway(group, makeCatalog([route]), {leases});
  leases.onAssignments([makeAssignment('a', 1)]);
  return {group, caller: new TestCaller(gateway, 'db')};
}

const PRIMARY = {consistency: Consistency.CONSISTENCY_PRIMARY};

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

afterEach(() => gateway.stop.abort());

describe('a session', () => {
  it('gets the signature of its member for reads and writes', async () => {
    const {caller} = setUp();
    const written = await caller.send(WRITE);
    expect(written.result).toMatchObject({signature: 'signed q1'});
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({rows: ['row'], signature: 'signed q2'});
  });

  it('keeps a transaction on one connection until its end', async () => {
    const {group, caller} = setUp();
    await caller.send(BEGIN);
    await caller.send(WRITE);
    const read = await caller.send(READ);
    expect(read.state).toBe('open');
    const done = await caller.send(COMMIT);
    expect(done).toMatchObject({state: 'idle', result: {kind: 'done'}});
    const links = group.executed.map(({link}) => link);
    expect(new Set(links).size).toBe(1);
  });

  it('sends an empty commit to a member, for its signature', async () => {
    const {caller} = setUp();
    await caller.send(BEGIN);
    const done = await caller.send(COMMIT);
    expect(done.result).toMatchObject({signature: 'signed q2'});
  });

  it('clears values of another session on a shared connection', async () => {
    // Otherwise a session runs with values that another session set.
    const {group, caller} = setUp();
    group.maxConnections = 1;
    const other = new TestCaller(gateway, 'db');
    await caller.send({kind: 'set', name: 'zone', value: '1'});
    await caller.send(WRITE);
    await other.send(WRITE);
    await caller.send(WRITE);
    const values = group.executed.map(run => run.values);
    expect(values).toEqual(['zone=1', '', 'zone=1']);
  });

  it('separates prepared statements of the same name', async () => {
    const {group, caller} = setUp();
    const other = new TestCaller(gateway, 'db');
    const prepare = {kind: 'prepare', name: 's1', shape: 'q'} as const;
    await caller.send({...prepare, action: 'write'});
    await other.send({...prepare, action: 'read'});
    const execute = {kind: 'execute', name: 's1', item: 'a'} as const;
    const written = await caller.send({...execute, data: 'x'});
    const read = await other.send({...execute, data: undefined});
    expect(written.result).toMatchObject({kind: 'done', rows: []});
    expect(read.result).toMatchObject({kind: 'done', rows: ['row']});
    expect(group.member('a').position.offset).toBe(11);
  });

  it('rolls back the open transaction of a disconnected caller', async () => {
    // Otherwise the next caller gets a connection with an open transaction.
    const {group, caller} = setUp();
    await caller.send(BEGIN);
    await caller.send(WRITE);
    caller.leave();
    await pause(20);
    const other = new TestCaller(gateway, 'db');
    await other.send(WRITE);
    const [first, second] = group.executed;
    expect(second!.link).not.toBe(first!.link);
  });

  it('rolls back a transaction that is idle for too long', async () => {
    const {caller} = setUp(makeRoute(), {transactionIdleMs: 30});
    await caller.send(BEGIN);
    await caller.send(WRITE);
    await pause(60);
    const late = await caller.send(WRITE);
    expect(late.result).toMatchObject({failure: 'aborted'});
    const end = await caller.send(ROLLBACK);
    expect(end).toMatchObject({state: 'idle', result: {kind: 'done'}});
  });
});

describe('a read that must see every commit', () => {
  it('is not served by a primary that was replaced', async () => {
    // The proxy does not know of the promotion, and the old primary still
    // answers reads with stale data. The begin behind the read detects it.
    const {group, caller} = setUp(makeRoute(PRIMARY));
    await caller.send(READ);
    group.promote('b');
    const asking = caller.send(READ);
    await pause(20);
    gateway.announceMembers();
    const read = await asking;
    expect(read.result.kind).toBe('done');
    expect(group.callerStatements.at(-1)).toBe('b read a');
  });
});

describe('a read with a maximum age', () => {
  it('is served by a replica that is recent enough', async () => {
    const {group, caller} = setUp();
    for (const instance of ['b', 'c']) {
      group.member(instance).position = {term: 1, offset: 10};
    }
    await caller.send(READ);
    await caller.send(READ);
    expect(group.callerStatements.at(-1)).toMatch(/^[bc] read a$/);
  });

  it("never misses the session's own commit", async () => {
    // The replicas lag and redirect the read, and the primary serves it.
    const {group, caller} = setUp();
    await caller.send(WRITE);
    const read = await caller.send(READ);
    expect(read.result.kind).toBe('done');
    expect(group.callerStatements.at(-1)).toBe('a read a');
  });

  it('begins a transaction at a replica with the minimum position', async () => {
    const {group, caller} = setUp();
    await caller.send(READ);
    await caller.send(BEGIN_READ);
    await caller.send(READ);
    await caller.send(COMMIT);
    expect(group.callerStatements.at(-1)).toMatch(/^[bc] commit$/);
  });

  it('is retried on another member when its reply is lost', async () => {
    const {group, caller} = setUp();
    await caller.send(READ);
    for (const instance of ['b', 'c']) group.member(instance).isSilent = true;
    const read = await caller.send(READ);
    expect(read.result.kind).toBe('done');
  });
});

describe('a read whose caller disconnected', () => {
  it('holds no connection to a silent member', async () => {
    // If the timeout ended with the session, a member that hangs would hold the
    // connection for good.
    const {group, caller} = setUp(makeRoute({...PRIMARY, statementMs: 100}));
    await caller.send(READ);
    group.member('a').isSilent = true;
    void caller.send(READ);
    await pause(20);
    caller.leave();
    await pause(150);
    expect(group.member('a').closeCount).toBeGreaterThan(0);
  });
});

describe('a write', () => {
  it('is not retried when its reply is lost', async () => {
    // The write may have taken effect, and a retry could apply it twice.
    const {group, caller} = setUp(makeRoute({statementMs: 100}));
    group.member('a').answersToLose = 1;
    const written = await caller.send(WRITE);
    expect(written.result).toMatchObject({failure: 'unknown outcome'});
    expect(group.callerStatements).toEqual(['a write a']);
  });

  it('releases its connection in time after its caller disconnected', async () => {
    // Without a timeout, a member that never replies holds the connection for
    // good.
    const {group, caller} = setUp(makeRoute({statementMs: 100}));
    await caller.send(WRITE);
    group.member('a').answersToLose = 1;
    void caller.send(WRITE);
    const isLost = () => expect(group.callerStatements).toHaveLength(2);
    await vi.waitFor(isLost);
    const {link} = group.executed.at(-1)!;
    caller.leave();
    expect(group.member('a').closedLinks).not.toContain(link);
    const isClosed = () =>
      expect(group.member('a').closedLinks).toContain(link);
    await vi.waitFor(isClosed, 1_000);
  });

  it('is retried when the member replies that it did not run', async () => {
    const {group, caller} = setUp();
    group.member('a').busyAnswers = 2;
    const written = await caller.send(WRITE);
    expect(written.result.kind).toBe('done');
    expect(group.callerStatements).toEqual(['a write a']);
  });

  it('is refused at once while no primary is reachable', async () => {
    // Waiting until the deadline would delay the caller's own retry.
    const {group, caller} = setUp();
    await caller.send(WRITE);
    group.member('a').isDown = true;
    const startedAt = Date.now();
    const lost = await caller.send(WRITE);
    expect(lost.result).toMatchObject({failure: 'unknown outcome'});
    const refused = await caller.send(WRITE);
    expect(refused.result).toMatchObject({failure: 'busy'});
    expect(JSON.stringify(refused.result)).toContain('retry after');
    expect(Date.now() - startedAt).toBeLessThan(500);
    expect(gateway.reports.at(-1)).toBe('a unreachable');
  });

  it('is retried on the next primary', async () => {
    const {group, caller} = setUp();
    await caller.send(WRITE);
    group.promote('b');
    const asking = caller.send(WRITE);
    await pause(20);
    gateway.announceMembers();
    const written = await asking;
    expect(written.result.kind).toBe('done');
    expect(group.callerStatements).toEqual(['a write a', 'b write a']);
  });
});

describe('a transaction whose member is lost', () => {
  it('is rolled back before its commit and reported as aborted', async () => {
    const {group, caller} = setUp();
    await caller.send(BEGIN);
    await caller.send(WRITE);
    group.member('a').isDown = true;
    const lost = await caller.send(WRITE);
    expect(lost).toMatchObject({
      state: 'failed',
      result: {failure: 'aborted'},
    });
    const end = await caller.send(COMMIT);
    expect(end).toMatchObject({state: 'idle', result: {failure: 'aborted'}});
  });

  it('has an unknown outcome once its commit was sent', async () => {
    // The commit may have taken effect. Reporting it as aborted would make the
    // caller repeat the transaction.
    const {group, caller} = setUp(makeRoute({statementMs: 100}));
    await caller.send(BEGIN);
    await caller.send(WRITE);
    group.member('a').answersToLose = 1;
    const end = await caller.send(COMMIT);
    expect(end).toMatchObject({
      state: 'idle',
      result: {failure: 'unknown outcome'},
    });
  });
});

describe('draining', () => {
  it('serves the first request of a session that begins then', async () => {
    // New callers still arrive while an instance stops. Closing their session
    // at once would lose a request that was already sent, without a reply.
    setUp();
    gateway.gateway.markNotReady();
    const early = new TestCaller(gateway, 'db');
    gateway.gateway.drain();
    const late = new TestCaller(gateway, 'db');
    await pause(10);
    expect([early.isClosed, late.isClosed]).toEqual([false, false]);
    expect((await late.send(WRITE)).result.kind).toBe('done');
    expect((await early.send(WRITE)).result.kind).toBe('done');
    await pause(10);
    expect([early.isClosed, late.isClosed]).toEqual([true, true]);
  });

  it('serves the execution that follows a prepare', async () => {
    // Closing the session after the prepare would lose the execution, which the
    // caller has already sent.
    const {caller} = setUp();
    gateway.gateway.drain();
    const prepare = {kind: 'prepare', name: 's', shape: 'q'} as const;
    await caller.send({...prepare, action: 'write'});
    const execute = {kind: 'execute', name: 's', item: 'a'} as const;
    const done = await caller.send({...execute, data: 'x'});
    expect(done.result.kind).toBe('done');
    await pause(10);
    expect(caller.isClosed).toBe(true);
  });

  it('closes idle sessions, and others after their transaction', async () => {
    const {caller} = setUp();
    const busy = new TestCaller(gateway, 'db');
    await caller.send(WRITE);
    await busy.send(BEGIN);
    gateway.gateway.drain();
    await pause(10);
    expect([caller.isClosed, busy.isClosed]).toEqual([true, false]);
    await busy.send(WRITE);
    const done = await busy.send(COMMIT);
    expect(done.result.kind).toBe('done');
    await pause(10);
    expect(busy.isClosed).toBe(true);
  });
});

describe('a primary that was replaced', () => {
  it('is not left before control assigns another one', async () => {
    // Another proxy may hold a lease on the old primary, so a write on the new
    // one could be acknowledged beside a write on the old one.
    const {group, caller} = setUp();
    await caller.send(WRITE);
    group.promote('b');
    const written = caller.send(WRITE);
    await pause(250);
    expect(group.callerStatements.filter(run => run.startsWith('b'))).toEqual(
      [],
    );
    const named = Date.now();
    gateway.announceMembers();
    expect((await written).result.kind).toBe('done');
    expect(Date.now() - named).toBeLessThan(300);
    expect(group.executed.at(-1)!.instance).toBe('b');
  });

  it('is not read from once its lease was returned', async () => {
    // The old primary is partitioned from control and its replicas but not from
    // this proxy, and would answer with stale data.
    const {group, caller} = setUp(makeRoute(PRIMARY));
    await caller.send(READ);
    gateway.setPrimary('');
    group.promoteWithoutDemoting('b');
    const read = caller.send(READ);
    await pause(50);
    gateway.setPrimary('b');
    expect((await read).result.kind).toBe('done');
    expect(group.callerStatements.at(-1)).toBe('b read a');
  });

  it('acknowledges nothing once its lease has expired', async () => {
    // Control may have promoted another member, and what the old primary commits
    // may be rolled back: an acknowledged write would be lost.
    const leases = new PrimaryLeases(new MonotonicClock());
    const route = makeRoute({...PRIMARY, statementMs: 300});
    const {group, caller} = setUpWithLeases(leases, route);
    const written = await caller.send(WRITE);
    expect(written.result).toMatchObject({failure: 'unknown outcome'});
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({failure: 'timeout'});
    expect(group.callerStatements).toContain('a write a');
  });

  it('serves requests that waited for an expired lease', async () => {
    // Electing a control leader can take longer than a lease lasts; then the
    // same primary is confirmed again.
    const leases = new PrimaryLeases(new MonotonicClock());
    const {caller} = setUpWithLeases(leases, makeRoute(PRIMARY));
    const written = caller.send(WRITE);
    await pause(100);
    renew(leases);
    expect((await written).result.kind).toBe('done');
  });
});

describe('a proxy without a connection to control', () => {
  // In a partition without a control instance leases expire. Without another
  // way to verify primaries, all services would be refused until it ends.
  const EXPIRY_WAIT_MS = 1_700;

  function setUpDisconnected() {
    const leases = new PrimaryLeases(new MonotonicClock());
    const {group, caller} = setUpWithLeases(leases, makeRoute(PRIMARY));
    renew(leases);
    return {group, caller};
  }

  it('serves requests if the members verify the primary', async () => {
    const {caller} = setUpDisconnected();
    await pause(EXPIRY_WAIT_MS);
    expect((await caller.send(READ)).result.kind).toBe('done');
    expect((await caller.send(WRITE)).result.kind).toBe('done');
  });

  it('returns no data of a primary that was replaced', async () => {
    const {group, caller} = setUpDisconnected();
    group.promoteWithoutDemoting('b');
    await pause(EXPIRY_WAIT_MS);
    expect((await caller.send(READ)).result.kind).toBe('error');
  });

  it('returns no data while a member that may be primary is silent', async () => {
    const {group, caller} = setUpDisconnected();
    group.member('c').isSilent = true;
    await pause(EXPIRY_WAIT_MS);
    expect((await caller.send(READ)).result.kind).toBe('error');
  });
});

describe('connections that several instances share', () => {
  it('exceed a sufficient share by half at most', async () => {
    // Instances close to the primary connect first. Without a bound they take
    // all connections, and callers of other regions are refused.
    const {group} = setUp(makeRoute(PRIMARY), {
      services: [{service: 'books', connections: 32, confirmations: 1}],
    });
    group.maxConnections = 32;
    gateway.gateway.setMembers({members: membersOf(group), proxyCount: 6});
    const callers = [...Array(12)].map(() => new TestCaller(gateway, 'db'));
    // An instance takes fewer connections right after its start.
    await pause(1_600);
    for (const caller of callers) {
      void caller.send(BEGIN);
      void caller.send(WRITE);
    }
    await pause(150);
    expect(group.member('a').connectionCount).toBe(7);
  });

  it('are limited to half of a share right after a start', async () => {
    // After a power failure members still count the connections of dead
    // instances. Without a bound the first instances to restart take the rest,
    // and callers of the others are refused.
    const {group} = setUp(makeRoute(PRIMARY), {
      services: [{service: 'books', connections: 32, confirmations: 1}],
    });
    group.maxConnections = 32;
    gateway.gateway.setMembers({members: membersOf(group), proxyCount: 6});
    const callers = [...Array(12)].map(() => new TestCaller(gateway, 'db'));
    for (const caller of callers) {
      void caller.send(BEGIN);
      void caller.send(WRITE);
    }
    await pause(150);
    expect(group.member('a').connectionCount).toBe(2);
  });
});

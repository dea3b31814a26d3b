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

function setUp(route = makeRoute(), over = {}) {
  const group = new FakeGroup(['a', 'b', 'c']);
  gateway = new TestGateway(group, makeCatalog([route], over));
  return {group, caller: new TestCaller(gateway, 'db')};
}

/** A session at a gateway whose leases only the test renews. */
function setUpLeased(leases: PrimaryLeases, route = makeRoute()) {
  const group = new FakeGroup(['a', 'b', 'c']);
  gateway = new TestGateway(group, makeCatalog([route]), {leases});
  leases.onAssignments([makeAssignment('a', 1)]);
  return {group, caller: new TestCaller(gateway, 'db')};
}

const PRIMARY = {consistency: Consistency.CONSISTENCY_PRIMARY};

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

afterEach(() => gateway.stop.abort());

describe('a session', () => {
  it('gets its member signature for reads and writes', async () => {
    const {caller} = setUp();
    const written = await caller.send(WRITE);
    expect(written.result).toMatchObject({signature: 'signed q1'});
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({rows: ['row'], signature: 'signed q2'});
  });

  it('keeps a transaction on one connection, to its end', async () => {
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

  it('sends a commit of nothing to a member, whose signature counts', async () => {
    const {caller} = setUp();
    await caller.send(BEGIN);
    const done = await caller.send(COMMIT);
    expect(done.result).toMatchObject({signature: 'signed q2'});
  });

  it('leaves no values of another session on a shared connection', async () => {
    // Two callers share one connection. The second one must not run with the
    // value that the first one set, and the first one gets its own back.
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

  it('keeps prepared names apart that two sessions both use', async () => {
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

  it('undoes what a caller leaves open', async () => {
    // A caller writes in a transaction and vanishes. Its connection must not
    // go to the next caller with the transaction still open.
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

  it('ends a transaction that rests too long, as undone', async () => {
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
  it('is not answered by a primary that was replaced meanwhile', async () => {
    // The primary is replaced and this proxy hears nothing of it. The old one
    // still answers plain reads, without what was committed since. The proof
    // behind the read fails there, so the caller gets the new primary's data.
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

describe('a read within an age', () => {
  it('goes to a replica that is new enough', async () => {
    const {group, caller} = setUp();
    for (const instance of ['b', 'c']) {
      group.member(instance).position = {term: 1, offset: 10};
    }
    await caller.send(READ);
    await caller.send(READ);
    expect(group.callerStatements.at(-1)).toMatch(/^[bc] read a$/);
  });

  it("never misses the session's own commit", async () => {
    // Replicas receive nothing. The session writes and reads at once: each
    // replica says that it lacks the position, and the primary answers.
    const {group, caller} = setUp();
    await caller.send(WRITE);
    const read = await caller.send(READ);
    expect(read.result.kind).toBe('done');
    expect(group.callerStatements.at(-1)).toBe('a read a');
  });

  it('begins at a replica with the position too', async () => {
    const {group, caller} = setUp();
    await caller.send(READ);
    await caller.send(BEGIN_READ);
    await caller.send(READ);
    await caller.send(COMMIT);
    expect(group.callerStatements.at(-1)).toMatch(/^[bc] commit$/);
  });

  it('is repeated elsewhere when its answer is lost', async () => {
    const {group, caller} = setUp();
    await caller.send(READ);
    for (const instance of ['b', 'c']) group.member(instance).isSilent = true;
    const read = await caller.send(READ);
    expect(read.result.kind).toBe('done');
  });
});

describe('a read whose caller left', () => {
  it('holds no connection to a member that is silent', async () => {
    // The member hangs, and the caller gives up and leaves. The limit of the
    // read's time ended with the session: the connection, one of a few that
    // all instances share, was held until the member broke it.
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
  it('is not repeated when its answer is lost', async () => {
    // The member commits and its answer is lost. Whether the write took effect
    // is unknown: sending it again could double it.
    const {group, caller} = setUp(makeRoute({statementMs: 100}));
    group.member('a').answersToLose = 1;
    const written = await caller.send(WRITE);
    expect(written.result).toMatchObject({failure: 'unknown outcome'});
    expect(group.callerStatements).toEqual(['a write a']);
  });

  it('gives its connection up in time where its caller has left', async () => {
    // A caller leaves while its write waits for a member that never answers.
    // Without a bound the connection, one of a few, is held for good.
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

  it('is repeated when the member says that it did not run', async () => {
    const {group, caller} = setUp();
    group.member('a').busyAnswers = 2;
    const written = await caller.send(WRITE);
    expect(written.result.kind).toBe('done');
    expect(group.callerStatements).toEqual(['a write a']);
  });

  it('is refused at once, as not run, while no primary answers', async () => {
    // The primary is gone and nobody leads. Waiting for the deadline would
    // only use up the caller's time: it hears soon when to come back.
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

  it('goes on with the member that leads next', async () => {
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
  it('is undone before its commit, and the caller is told so', async () => {
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
    // The commit takes effect and its answer is lost. "Aborted" would be a
    // promise that nothing is kept, and the caller would file twice.
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

describe('a stop', () => {
  it('serves the first request of a session that begins meanwhile', async () => {
    // An instance is told to stop; for two more seconds callers are still sent
    // to it. A caller connects and asks at once, and its connection was closed
    // with the request on the way: it heard nothing, and had to guess.
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

  it('is not in the way of what follows a prepared statement', async () => {
    // A caller prepares a statement and executes it at once. Closed with the
    // answer to the first, it never heard of the second.
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

  it('closes a session at rest, and one in a transaction after it', async () => {
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
  it('is not left for another without a word from control', async () => {
    // A replica is promoted and says so before control does. Another proxy may
    // still rely on the old primary, so a write here would be acknowledged
    // beside its own. With control's word the write that waited goes through.
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
    // The old primary is cut off from control and its replicas, but not from
    // this proxy. It accepts every statement. Another member leads, commits a
    // booking, and the old one would show a boat that is gone.
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

  it('acknowledges nothing once its lease ran out', async () => {
    // This proxy was frozen, or control has no leader: nobody renews leases.
    // Control may have ordered a promotion, and what the old primary commits
    // may be rolled back. Saying that it is kept would lose a booking.
    const leases = new PrimaryLeases(new MonotonicClock());
    const route = makeRoute({...PRIMARY, statementMs: 300});
    const {group, caller} = setUpLeased(leases, route);
    const written = await caller.send(WRITE);
    expect(written.result).toMatchObject({failure: 'unknown outcome'});
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({failure: 'timeout'});
    expect(group.callerStatements).toContain('a write a');
  });

  it('answers what waited for a lease that ran out', async () => {
    // Control elects a leader for longer than a lease lasts, and names the
    // same lead again. What ran meanwhile is as good as before.
    const leases = new PrimaryLeases(new MonotonicClock());
    const {caller} = setUpLeased(leases, makeRoute(PRIMARY));
    const written = caller.send(WRITE);
    await pause(100);
    renew(leases);
    expect((await written).result.kind).toBe('done');
  });
});

describe('a proxy that lost control', () => {
  // A part of the machines is cut off together with no instance of control.
  // All members of a service are in reach. The leases of the proxies there ran
  // out after 1.2 s, and they refused every service for as long as the cut
  // lasted: 7 s of two thirds of the callers.
  const LAPSED_MS = 1_700;

  function setUpLost() {
    const leases = new PrimaryLeases(new MonotonicClock());
    const {group, caller} = setUpLeased(leases, makeRoute(PRIMARY));
    renew(leases);
    return {group, caller};
  }

  it('serves what the members prove', async () => {
    const {caller} = setUpLost();
    await pause(LAPSED_MS);
    expect((await caller.send(READ)).result.kind).toBe('done');
    expect((await caller.send(WRITE)).result.kind).toBe('done');
  });

  it('gives no answer of a primary that was replaced meanwhile', async () => {
    const {group, caller} = setUpLost();
    group.promoteWithoutDemoting('b');
    await pause(LAPSED_MS);
    expect((await caller.send(READ)).result.kind).toBe('error');
  });

  it('gives none while a member that may lead is silent', async () => {
    const {group, caller} = setUpLost();
    group.member('c').isSilent = true;
    await pause(LAPSED_MS);
    expect((await caller.send(READ)).result.kind).toBe('error');
  });
});

describe('connections that several instances share', () => {
  it('are taken by half beyond a share that suffices, at most', async () => {
    // Six poolers share 30 connections to a primary. Those near it come first
    // for each one that is free; with 15 each, two of them had all, and other
    // regions' callers were refused while slots of the member were idle.
    const {group} = setUp(makeRoute(PRIMARY), {
      services: [{service: 'books', connections: 32, confirmations: 1}],
    });
    group.maxConnections = 32;
    gateway.gateway.setMembers({members: membersOf(group), proxyCount: 6});
    const callers = [...Array(12)].map(() => new TestCaller(gateway, 'db'));
    // Right after a start an instance takes less.
    await pause(1_600);
    for (const caller of callers) {
      void caller.send(BEGIN);
      void caller.send(WRITE);
    }
    await pause(150);
    expect(group.member('a').connectionCount).toBe(7);
  });

  it('are taken by half of a share right after a start', async () => {
    // All instances lost power. Members count the connections of the dead for
    // three seconds and have few to give. The first instances to be back took
    // all of these for themselves, and the callers of the others were refused.
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

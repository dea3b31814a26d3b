import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {
  LinkProtocol,
  MessageLink,
} from '../../../../base/node/message_link';
import {MessageServer} from '../../../../base/node/message_server';
import {createAbortController} from '../../../../base/node/timers';
import {Consistency} from '../../../../schema/generated/fleet';
import {FakeGroup} from '../../../gateway/test/node/fake_group';
import {FakeLimits} from '../../../gateway/test/node/fake_limits';
import {
  BEGIN,
  BEGIN_READ,
  TestCaller,
  COMMIT,
  makeCatalog,
  makeRoute,
  READ,
  ROLLBACK,
  TestGateway,
  WRITE,
} from '../../../gateway/test/node/session_fixture';
import {PooledRunner} from '../../node/pooled_runner';
import {PoolerDirectory} from '../../node/pooler_directory';
import {PoolerServer} from '../../node/pooler_server';

const CATALOG = makeCatalog([
  makeRoute(),
  makeRoute({
    name: 'r2',
    database: 'strict',
    consistency: Consistency.CONSISTENCY_PRIMARY,
  }),
]);

/** A server that can stop reading from its links. */
class FreezableServer extends MessageServer {
  private readonly onDidFreeze: (() => void)[] = [];

  override serve<Q, A>(
    protocol: LinkProtocol<Q, A>,
    onDidConnect: (link: MessageLink<A, Q>) => void,
  ): void {
    super.serve(protocol, (link: MessageLink<A, Q>) => {
      onDidConnect(link);
      // A frozen process reads nothing; its peers' messages stay unread.
      const unread = {onDidReceive: () => {}, onDidEnd: () => {}};
      this.onDidFreeze.push(() => link.start(unread));
    });
  }

  freeze(): void {
    for (const listener of this.onDidFreeze) listener();
  }
}

/** A proxy with the server side of a pooler. */
class TestPooler {
  readonly stop = createAbortController();
  readonly gateway: TestGateway;
  readonly server: PoolerServer;
  readonly limits = new FakeLimits();
  address = '';
  private readonly messageServer: FreezableServer;

  constructor(
    readonly instance: string,
    group: FakeGroup,
  ) {
    this.gateway = new TestGateway(group, CATALOG, {
      instance,
      limits: this.limits,
    });
    const {captured: logged} = this.gateway;
    this.server = new PoolerServer(
      this.gateway.gateway,
      logged.log,
      this.stop.signal,
    );
    this.messageServer = new FreezableServer(logged.log);
  }

  async start(): Promise<void> {
    this.server.serve(this.messageServer);
    const port = await this.messageServer.listen(
      '127.0.0.1:0',
      this.stop.signal,
    );
    if (port.isErr) throw port.error;
    this.address = `127.0.0.1:${port.value}`;
  }

  get entry() {
    const {instance, address} = this;
    return {service: 'books', instance, address, site: instance};
  }

  /** Accepts requests and neither runs nor answers them. */
  freeze(): void {
    this.messageServer.freeze();
  }

  end(): void {
    this.stop.abort();
    this.gateway.stop.abort();
  }
}

let group: FakeGroup;
let near: TestPooler;
let far: TestPooler;
let edge: TestGateway;
/** The members as seen by the proxy without pooled connections. */
let edgeGroup: FakeGroup;
let directory: PoolerDirectory;
let stop: AbortController;
let edgeLimits: FakeLimits;

beforeEach(async () => {
  stop = createAbortController();
  group = new FakeGroup(['a', 'b', 'c']);
  near = new TestPooler('site-near', group);
  far = new TestPooler('site-far', group);
  await near.start();
  await far.start();
  const clock = near.gateway.clock;
  const here = {
    instance: 'edge',
    site: 'site-near',
    primaryRegionOf: () => undefined,
    regionOf: (site: string) => site,
  };
  const {log} = near.gateway.captured;
  directory = new PoolerDirectory(here, clock, log, stop.signal);
  edgeLimits = new FakeLimits();
  edgeGroup = new FakeGroup(['a', 'b', 'c']);
  edge = new TestGateway(edgeGroup, CATALOG, {
    instance: 'edge',
    pooledRunner: new PooledRunner(directory),
    limits: edgeLimits,
  });
  const poolers = [near.entry, far.entry];
  directory.setPoolers({poolers});
  edge.gateway.setPoolers({poolers});
});

afterEach(() => {
  stop.abort();
  near.end();
  far.end();
  edge.stop.abort();
});

/** One statement and one transaction. */
async function edgeRun(): Promise<void> {
  const caller = new TestCaller(edge, 'db');
  await caller.send(WRITE);
  await caller.send(BEGIN);
  await caller.send(WRITE);
  await caller.send(COMMIT);
}

/** The reasons of the refusals at a pooler. */
function refusalsAt({gateway}: TestPooler): unknown[] {
  const refused = gateway.captured.lines.filter(line => {
    return line.startsWith('Refused, not run.');
  });
  return refused.map(line => JSON.parse(line.slice(18)).reason as unknown);
}

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('a session at a proxy without connections', () => {
  it('runs statements and transactions at the pooler of its site', async () => {
    const caller = new TestCaller(edge, 'db');
    const written = await caller.send(WRITE);
    expect(written.result).toMatchObject({signature: 'signed q1'});
    await caller.send(BEGIN);
    await caller.send(WRITE);
    const read = await caller.send(READ);
    expect(read).toMatchObject({state: 'open', result: {rows: ['row']}});
    const done = await caller.send(COMMIT);
    expect(done).toMatchObject({state: 'idle', result: {kind: 'done'}});
    const links = group.executed.slice(1).map(({link}) => link);
    expect(new Set(links).size).toBe(1);
    expect(near.server.workCount).toBe(0);
  });

  it('counts towards the account limit at the proxy only', async () => {
    // Counted at both, an account would get half of its limit.
    await edgeRun();
    expect(edgeLimits.admitted).toHaveLength(2);
    expect(near.limits.admitted).toEqual([]);
  });

  it('reads its own commit that was made through a pooler', async () => {
    // A session reads right after a write while the replicas lag. A pooler that
    // does not know of the commit would read without it.
    const caller = new TestCaller(edge, 'db');
    const written = await caller.send(WRITE);
    expect(written.position).toEqual(group.member('a').position);
    await caller.send(READ);
    expect(group.executed.at(-1)!.instance).toBe('a');
  });

  it('sends its values and prepared statements to the pooler', async () => {
    const caller = new TestCaller(edge, 'db');
    await caller.send({kind: 'set', name: 'zone', value: '1'});
    await caller.send({
      kind: 'prepare',
      name: 's1',
      action: 'write',
      shape: 'q',
    });
    const execute = {kind: 'execute', name: 's1', item: 'k'} as const;
    const done = await caller.send({...execute, data: 'x'});
    expect(done.result.kind).toBe('done');
    const other = new TestCaller(edge, 'db');
    await other.send(WRITE);
    expect(group.executed.map(({values}) => values)).toEqual(['zone=1', '']);
  });

  it('rolls back a transaction at the pooler', async () => {
    const caller = new TestCaller(edge, 'db');
    const before = group.member('a').position;
    await caller.send(BEGIN);
    await caller.send(WRITE);
    await caller.send(ROLLBACK);
    await pause(50);
    expect(group.member('a').position).toEqual(before);
    expect(near.server.workCount).toBe(0);
  });

  it('releases the connection when its caller disconnects', async () => {
    // A caller disconnects within a transaction. The pooler would hold one of
    // the few connections for nobody.
    const caller = new TestCaller(edge, 'db');
    await caller.send(BEGIN);
    await caller.send(WRITE);
    caller.leave();
    await pause(50);
    expect(near.server.workCount).toBe(0);
  });
});

describe('a request that is queued at a pooler', () => {
  it('leaves the queue when its caller disconnects', async () => {
    // A write waits for a primary and its caller disconnects. Once there is a
    // primary, the write would use a scarce connection and run for nobody.
    near.gateway.setPrimary('');
    const caller = new TestCaller(edge, 'db');
    void caller.send(WRITE);
    await pause(50);
    expect(near.server.workCount).toBe(1);
    caller.leave();
    await pause(50);
    expect(near.server.workCount).toBe(0);
    expect(refusalsAt(near)).toEqual(['abandoned']);
    near.gateway.setPrimary('a');
    await pause(50);
    expect(group.callerStatements).toEqual([]);
  });

  it('leaves the queue when its proxy is lost', async () => {
    near.gateway.setPrimary('');
    void new TestCaller(edge, 'db').send(WRITE);
    await pause(50);
    stop.abort();
    await pause(50);
    expect(refusalsAt(near)).toEqual(['abandoned']);
    near.gateway.setPrimary('a');
    await pause(50);
    expect(group.callerStatements).toEqual([]);
  });

  it('holds no connection once its transaction was aborted', async () => {
    // The same for the first statement of a transaction, which would begin
    // later and never end.
    near.gateway.setPrimary('');
    const caller = new TestCaller(edge, 'db');
    await caller.send(BEGIN);
    void caller.send(WRITE);
    await pause(50);
    caller.leave();
    await pause(50);
    near.gateway.setPrimary('a');
    await pause(50);
    expect(near.server.workCount).toBe(0);
    expect(refusalsAt(near)).toEqual(['abandoned']);
    expect(group.callerStatements).toEqual([]);
  });
});

describe('a transaction that is aborted while it begins', () => {
  it('runs nothing', async () => {
    // The caller disconnects while the transaction begins. The pooler must not
    // forget it: its statement would run, and its connection would be held
    // until the limit of the member.
    const caller = new TestCaller(edge, 'db');
    await caller.send(WRITE);
    group.member('a').answerDelayMs = 60;
    await caller.send(BEGIN);
    void caller.send(WRITE);
    await pause(30);
    caller.leave();
    await pause(150);
    expect(group.callerStatements).toHaveLength(1);
  });
});

describe('a proxy that is lost', () => {
  it('has its open transactions rolled back at the pooler', async () => {
    // A proxy is lost within a transaction that nobody can commit any more. The
    // pooler would hold its connection, and the member its locks, until the
    // limit of the member.
    const caller = new TestCaller(edge, 'db');
    await caller.send(BEGIN);
    await caller.send(WRITE);
    stop.abort();
    await pause(100);
    const failed = near.gateway.captured.lines.filter(line => {
      return line.includes('the proxy that sent it is gone');
    });
    expect(failed).toHaveLength(1);
    expect(near.server.workCount).toBe(0);
  });
});

describe('a pooler that is lost', () => {
  it('delays a read only briefly', async () => {
    // The pooler freezes with a pending read, which is sent to another pooler
    // before its deadline.
    const caller = new TestCaller(edge, 'db');
    await caller.send(READ);
    near.freeze();
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({rows: ['row']});
    const next = Date.now();
    await caller.send(READ);
    expect(Date.now() - next).toBeLessThan(100);
  });

  it('never lets a pending read count as not run', async () => {
    // One pooler freezes with a pending read, the other one is gone, and the
    // members refuse this proxy. The read may have run, so it must not be
    // reported as not run.
    const caller = new TestCaller(edge, 'db');
    await caller.send(READ);
    near.freeze();
    far.end();
    await pause(50);
    for (const name of ['a', 'b', 'c']) {
      edgeGroup.member(name).busyAnswers = 100;
    }
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({failure: 'timeout'});
  });

  it('has a read charged again that is sent to another pooler', async () => {
    // Guards against an account that exceeds its limit while poolers are lost.
    const caller = new TestCaller(edge, 'db');
    await caller.send(READ);
    near.freeze();
    await caller.send(READ);
    expect(edgeLimits.admitted).toHaveLength(3);
    expect(edgeLimits.refunded).toEqual([]);
  });

  it('has no read sent elsewhere without a permit', async () => {
    // Guards against a retry that runs without a permit.
    const caller = new TestCaller(edge, 'db');
    await caller.send(READ);
    near.freeze();
    edgeLimits.left = 1;
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({failure: 'timeout'});
    expect(group.callerStatements).toHaveLength(1);
  });

  it('does not let a refusal of another pooler count as not run', async () => {
    // Guards against a permit that is returned though the lost pooler used it.
    const caller = new TestCaller(edge, 'db');
    await caller.send(READ);
    near.freeze();
    for (const name of ['a', 'b', 'c']) group.member(name).busyAnswers = 100;
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({failure: 'timeout'});
    expect(edgeLimits.admitted).toHaveLength(3);
    expect(edgeLimits.refunded).toHaveLength(1);
  });

  it('has a transaction charged again that begins elsewhere', async () => {
    // Guards against a first statement that runs twice on one permit.
    const caller = new TestCaller(edge, 'db');
    await caller.send(READ);
    near.freeze();
    await caller.send(BEGIN_READ);
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({rows: ['row']});
    expect(edgeLimits.admitted).toHaveLength(3);
  });

  it('leaves the outcome of a write unknown', async () => {
    // The pooler freezes with a pending write and may run it later: sent to
    // another pooler, the write could take effect twice.
    const caller = new TestCaller(edge, 'db');
    await caller.send(READ);
    near.freeze();
    const written = await caller.send(WRITE);
    expect(written.result).toMatchObject({failure: 'unknown outcome'});
    expect(group.executed.filter(({text}) => text.startsWith('write'))).toEqual(
      [],
    );
  });

  it('aborts a transaction and begins a new one elsewhere', async () => {
    // The pooler is lost within a transaction. The caller is told to repeat it,
    // and a new one goes to the other pooler.
    const caller = new TestCaller(edge, 'db');
    await caller.send(BEGIN);
    await caller.send(WRITE);
    near.end();
    const lost = await caller.send(WRITE);
    expect(lost).toMatchObject({
      state: 'failed',
      result: {failure: 'aborted'},
    });
    await caller.send(ROLLBACK);
    await caller.send(BEGIN);
    expect((await caller.send(WRITE)).result.kind).toBe('done');
    expect((await caller.send(COMMIT)).result.kind).toBe('done');
  });

  it('gets no new work while it drains', async () => {
    const caller = new TestCaller(edge, 'db');
    await caller.send(BEGIN);
    await caller.send(WRITE);
    near.server.drain();
    await pause(50);
    const other = new TestCaller(edge, 'db');
    await other.send(READ);
    expect(near.server.workCount).toBe(1);
    expect((await caller.send(COMMIT)).result.kind).toBe('done');
  });

  it('is replaced by local connections if none is left', async () => {
    const caller = new TestCaller(edge, 'strict');
    await caller.send(READ);
    near.end();
    far.end();
    await pause(50);
    const read = await caller.send(READ);
    expect(read.result).toMatchObject({rows: ['row']});
  });
});

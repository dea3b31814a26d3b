import {createConnection} from 'node:net';
import {serialize} from 'pg-protocol';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet, waitUntil} from '../../bench/fleet/fleet';
import {reportFailedTests} from '../process_report';
import {connectToProxy, connectToTarget, runQuery, SERVICE} from '../support';

let fleet: Fleet;
reportFailedTests(() => fleet);
beforeAll(async () => {
  fleet = await Fleet.start({
    controls: 1,
    proxies: 2,
    services: [SERVICE],
    members: 3,
    service: {connections: 8},
  });
  const first = await connectToProxy(fleet, 0);
  await first.query('CREATE TABLE t (id text PRIMARY KEY, n int)');
  await first.end();
});
afterAll(() => fleet.stop());

describe('a caller’s session', () => {
  it('gets the results and errors of the database', async () => {
    const caller = await connectToProxy(fleet, 0);
    await caller.query('INSERT INTO t VALUES ($1, $2)', ['a', 1]);
    expect(
      await runQuery(caller, 'SELECT n FROM t WHERE id = $1', ['a']),
    ).toEqual([{n: '1'}]);
    expect(await runQuery(caller, "INSERT INTO t VALUES ('a', 2)")).toBe(
      '23505',
    );
    expect(await runQuery(caller, 'SELECT x FROM t')).toBe('42703');
    expect(await runQuery(caller, 'SELEC')).toBe('42601');
    await caller.end();
  });

  it('rolls back a transaction as a whole', async () => {
    const caller = await connectToProxy(fleet, 0);
    await caller.query('BEGIN');
    await caller.query("INSERT INTO t VALUES ('b', 1)");
    await caller.query("INSERT INTO t VALUES ('c', 1)");
    await caller.query('ROLLBACK');
    expect(
      await runQuery(caller, "SELECT id FROM t WHERE id IN ('b', 'c')"),
    ).toEqual([]);
    await caller.end();
  });

  it('can use prepared statements on any target connection', async () => {
    const caller = await connectToProxy(fleet, 0);
    const query = {name: 'by-id', text: 'SELECT n FROM t WHERE id = $1'};
    for (let count = 0; count < 20; count++) {
      const {rows} = await caller.query({...query, values: ['a']});
      expect(rows).toEqual([{n: '1'}]);
    }
    const other = await connectToProxy(fleet, 0);
    const {rows} = await other.query({...query, values: ['a']});
    expect(rows).toEqual([{n: '1'}]);
    await Promise.all([caller.end(), other.end()]);
  });

  it('gets large results completely', async () => {
    const caller = await connectToProxy(fleet, 0, {class: 'review'});
    const text = 'SELECT g, repeat($1, 100) FROM generate_series(1, 50000) g';
    const {rows} = await caller.query(text, ['x']);
    expect(rows).toHaveLength(50_000);
    expect(rows.at(-1)?.g).toBe('50000');
    await caller.end();
  });

  it('can cancel a running statement', async () => {
    const caller = await connectToProxy(fleet, 0);
    const running = runQuery(caller, 'SELECT pg_sleep(20)');
    await new Promise(resolve => setTimeout(resolve, 200));
    const {processID, secretKey} = caller as unknown as {
      processID: number;
      secretKey: number;
    };
    const {port} = fleet.proxies[0]!;
    createConnection(port).end(serialize.cancel(processID, secretKey));
    expect(await running).toBe('57014');
    expect(await runQuery(caller, 'SELECT 1 AS one')).toEqual([{one: '1'}]);
    await caller.end();
  });

  // Guards against a session inheriting settings or an open transaction from
  // the previous session on its target connection.
  it('leaves no state on a shared connection', async () => {
    const caller = await connectToProxy(fleet, 0);
    await caller.query("SET application_name = 'mine'");
    await caller.query('BEGIN');
    await caller.query("INSERT INTO t VALUES ('left', 1)");
    const ended = caller.end();
    await ended;
    const next = await connectToProxy(fleet, 0);
    await waitUntil(async () => {
      const result = await runQuery(next, "INSERT INTO t VALUES ('left', 2)");
      return Array.isArray(result);
    }, 'the rollback of the abandoned transaction');
    const rows = await runQuery(next, "SELECT n FROM t WHERE id = 'left'");
    expect(rows).toEqual([{n: '2'}]);
    await next.end();
  });

  // Guards against leaking a session's settings to others on the same target
  // connection, and against replaying a SET that failed.
  it('keeps its settings without affecting other sessions', async () => {
    const caller = await connectToProxy(fleet, 0);
    const other = await connectToProxy(fleet, 0);
    await caller.query("SET DateStyle = 'German'");
    expect(await runQuery(caller, "SET DateStyle = 'wrong'")).toBe('22023');
    for (let count = 0; count < 10; count++) {
      const own = await runQuery(caller, 'SHOW DateStyle');
      expect(own).toEqual([{datestyle: 'German'}]);
      const theirs = await runQuery(other, 'SHOW DateStyle');
      expect(theirs).toEqual([{datestyle: ''}]);
    }
    await caller.query('BEGIN');
    expect(await runQuery(caller, "SET DateStyle = 'SQL'")).toBe('RN004');
    await caller.query('ROLLBACK');
    await Promise.all([caller.end(), other.end()]);
  });

  it('gets an error for unsupported session commands', async () => {
    const caller = await connectToProxy(fleet, 0);
    expect(await runQuery(caller, 'LISTEN news')).toBe('RN004');
    expect(await runQuery(caller, 'SELECT 1 AS one')).toEqual([{one: '1'}]);
    await caller.end();
  });

  it('can continue from its position at another proxy', async () => {
    const caller = await connectToProxy(fleet, 0);
    await caller.query("INSERT INTO t VALUES ('d', 1)");
    const {rows} = await caller.query('SHOW bulrush.position');
    const position = rows[0]!['bulrush.position'] as string;
    expect(position).toMatch(/^1\/\d+$/);
    const secondSession = await connectToProxy(fleet, 1, {
      class: 'review',
      position,
    });
    expect(
      await runQuery(secondSession, "SELECT n FROM t WHERE id = 'd'"),
    ).toEqual([{n: '1'}]);
    await Promise.all([caller.end(), secondSession.end()]);
  });
});

describe('read-your-writes', () => {
  // Guards against stale reads when a balancer moves a caller to a proxy whose
  // replicas lag and the caller passes no position.
  it('holds at another proxy with lagging replicas', async () => {
    const {primary} = await fleet.primaryOf(SERVICE);
    for (const {name, port} of fleet.targets) {
      if (name === primary) continue;
      const replica = await connectToTarget(port);
      await replica.query("SET member.apply_lag_ms = '400'");
      await replica.end();
    }
    const writer = await connectToProxy(fleet, 0);
    for (let count = 0; count < 10; count++) {
      await writer.query('INSERT INTO t VALUES ($1, 1)', [`move${count}`]);
      const secondSession = await connectToProxy(fleet, 1, {class: 'review'});
      const rows = await runQuery(
        secondSession,
        'SELECT n FROM t WHERE id = $1',
        [`move${count}`],
      );
      expect(rows).toEqual([{n: '1'}]);
      await secondSession.end();
    }
    await writer.end();
    for (const {port} of fleet.targets) {
      const target = await connectToTarget(port);
      await target.query("SET member.apply_lag_ms = '0'");
      await target.end();
    }
  });
});

describe('a request key', () => {
  // Guards against running a write twice when its reply is lost and the caller
  // retries it at another proxy.
  it('gives a retry the first reply at any proxy', async () => {
    const replies: unknown[] = [];
    for (const proxy of [0, 1, 0]) {
      const caller = await connectToProxy(fleet, proxy, {
        request_key: 'lodge-1',
      });
      const text = "INSERT INTO t VALUES ('keyed', 7) RETURNING n";
      replies.push(await runQuery(caller, text));
      await caller.end();
    }
    expect(replies).toEqual([[{n: '7'}], [{n: '7'}], [{n: '7'}]]);
  });

  it('runs one of several concurrent requests and replies to all', async () => {
    const text = 'UPDATE t SET n = n + 1 WHERE id = $1 RETURNING n';
    const replies = await Promise.all(
      Array.from({length: 8}, async (...[, index]) => {
        const caller = await connectToProxy(fleet, index % 2, {
          request_key: 'once',
        });
        const reply = await runQuery(caller, text, ['keyed']);
        await caller.end();
        return reply;
      }),
    );
    expect(replies).toEqual(Array.from({length: 8}, () => [{n: '8'}]));
  });
});

describe('a leaving target', () => {
  // Guards against routing to a replica that is shutting down; proxies must not
  // depend on control for this.
  it('gets no requests after 2 seconds, even without control', async () => {
    const {primary} = await fleet.primaryOf(SERVICE);
    const replica = fleet.targets.find(({name}) => name !== primary)!;
    const statistics = await connectToTarget(replica.port);
    const readExecutedCount = async () => {
      const {rows} = await statistics.query(
        "SELECT value FROM group_statistics WHERE name = 'executed'",
      );
      return Number(rows[0]!.value);
    };
    fleet.controls[0]!.sendSignal('SIGSTOP');
    await statistics.query("SET member.leaving = 'on'");
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const countBefore = await readExecutedCount();
    const caller = await connectToProxy(fleet, 0, {class: 'review'});
    for (let count = 0; count < 30; count++) {
      await runQuery(caller, 'SELECT id FROM t');
    }
    expect((await readExecutedCount()) - countBefore).toBe(1);
    fleet.controls[0]!.sendSignal('SIGCONT');
    await statistics.query("SET member.leaving = 'off'");
    await Promise.all([caller.end(), statistics.end()]);
  });
});

describe('a graceful stop', () => {
  // Guards against aborting open transactions when a proxy is replaced.
  it('completes pending work and rejects new sessions', async () => {
    const [, proxy] = fleet.proxies;
    const busy = await connectToProxy(fleet, 1);
    const idle = await connectToProxy(fleet, 1);
    const reading = runQuery(
      await connectToProxy(fleet, 1),
      'SELECT pg_sleep(1)',
    );
    await busy.query('BEGIN');
    await busy.query("INSERT INTO t VALUES ('stop', 1)");
    const exited = proxy!.waitForExit();
    proxy!.sendSignal('SIGTERM');
    await new Promise(resolve => setTimeout(resolve, 400));
    await expect(connectToProxy(fleet, 1)).rejects.toThrow();
    expect(await runQuery(idle, 'SELECT 1')).not.toEqual([{one: '1'}]);
    await busy.query("INSERT INTO t VALUES ('stop2', 1)");
    expect((await busy.query('COMMIT')).command).toBe('COMMIT');
    expect(await reading).toEqual([{pg_sleep: ''}]);
    expect(await exited).toBe(0);
    expect(proxy!.log).toContain('Drained. waitedFor=2');
  });
});

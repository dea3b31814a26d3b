import {createConnection} from 'node:net';
import {serialize} from 'pg-protocol';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet, waitUntil} from '../../bench/fleet/fleet';
import {client, direct, outcome, SERVICE} from '../support';

let fleet: Fleet;
beforeAll(async () => {
  fleet = await Fleet.start({
    controls: 1,
    proxies: 2,
    services: [SERVICE],
    members: 3,
    service: {connections: 8},
  });
  const first = await client(fleet, 0);
  await first.query('CREATE TABLE t (id text PRIMARY KEY, n int)');
  await first.end();
});
afterAll(() => fleet.stop());

describe('a caller’s session', () => {
  it('writes, reads and sees errors as from the database itself', async () => {
    const caller = await client(fleet, 0);
    await caller.query('INSERT INTO t VALUES ($1, $2)', ['a', 1]);
    expect(
      await outcome(caller, 'SELECT n FROM t WHERE id = $1', ['a']),
    ).toEqual([{n: '1'}]);
    expect(await outcome(caller, "INSERT INTO t VALUES ('a', 2)")).toBe(
      '23505',
    );
    expect(await outcome(caller, 'SELECT x FROM t')).toBe('42703');
    expect(await outcome(caller, 'SELEC')).toBe('42601');
    await caller.end();
  });

  it('keeps transactions together and undoes them whole', async () => {
    const caller = await client(fleet, 0);
    await caller.query('BEGIN');
    await caller.query("INSERT INTO t VALUES ('b', 1)");
    await caller.query("INSERT INTO t VALUES ('c', 1)");
    await caller.query('ROLLBACK');
    expect(
      await outcome(caller, "SELECT id FROM t WHERE id IN ('b', 'c')"),
    ).toEqual([]);
    await caller.end();
  });

  it('prepares statements that outlive their connection', async () => {
    const caller = await client(fleet, 0);
    const query = {name: 'by-id', text: 'SELECT n FROM t WHERE id = $1'};
    for (let count = 0; count < 20; count++) {
      const {rows} = await caller.query({...query, values: ['a']});
      expect(rows).toEqual([{n: '1'}]);
    }
    const other = await client(fleet, 0);
    const {rows} = await other.query({...query, values: ['a']});
    expect(rows).toEqual([{n: '1'}]);
    await Promise.all([caller.end(), other.end()]);
  });

  it('gets large answers whole', async () => {
    const caller = await client(fleet, 0, {class: 'review'});
    const text = 'SELECT g, repeat($1, 100) FROM generate_series(1, 50000) g';
    const {rows} = await caller.query(text, ['x']);
    expect(rows).toHaveLength(50_000);
    expect(rows.at(-1)?.g).toBe('50000');
    await caller.end();
  });

  it('can cancel what runs', async () => {
    const caller = await client(fleet, 0);
    const running = outcome(caller, 'SELECT pg_sleep(20)');
    await new Promise(resolve => setTimeout(resolve, 200));
    const {processID, secretKey} = caller as unknown as {
      processID: number;
      secretKey: number;
    };
    const {port} = fleet.proxies[0]!;
    createConnection(port).end(serialize.cancel(processID, secretKey));
    expect(await running).toBe('57014');
    expect(await outcome(caller, 'SELECT 1 AS one')).toEqual([{one: '1'}]);
    await caller.end();
  });

  // A session sets something, goes, and the next one on its connection runs
  // under it: dates are read the other way round.
  it('leaves nothing behind on a shared connection', async () => {
    const caller = await client(fleet, 0);
    await caller.query("SET application_name = 'mine'");
    await caller.query('BEGIN');
    await caller.query("INSERT INTO t VALUES ('left', 1)");
    const gone = caller.end();
    await gone;
    const next = await client(fleet, 0);
    await waitUntil(async () => {
      const found = await outcome(next, "INSERT INTO t VALUES ('left', 2)");
      return Array.isArray(found);
    }, 'the place of the transaction that was left open');
    const rows = await outcome(next, "SELECT n FROM t WHERE id = 'left'");
    expect(rows).toEqual([{n: '2'}]);
    await next.end();
  });

  // One session sets how dates are read; the next one on its connection reads
  // them so too. Or a SET that failed is repeated for ever.
  it('keeps its settings, and keeps them to itself', async () => {
    const caller = await client(fleet, 0);
    const other = await client(fleet, 0);
    await caller.query("SET DateStyle = 'German'");
    expect(await outcome(caller, "SET DateStyle = 'wrong'")).toBe('22023');
    for (let count = 0; count < 10; count++) {
      const own = await outcome(caller, 'SHOW DateStyle');
      expect(own).toEqual([{datestyle: 'German'}]);
      const theirs = await outcome(other, 'SHOW DateStyle');
      expect(theirs).toEqual([{datestyle: ''}]);
    }
    await caller.query('BEGIN');
    expect(await outcome(caller, "SET DateStyle = 'SQL'")).toBe('RN004');
    await caller.query('ROLLBACK');
    await Promise.all([caller.end(), other.end()]);
  });

  it('is told at once what shared connections cannot do', async () => {
    const caller = await client(fleet, 0);
    expect(await outcome(caller, 'LISTEN news')).toBe('RN004');
    expect(await outcome(caller, 'SELECT 1 AS one')).toEqual([{one: '1'}]);
    await caller.end();
  });

  it('sees its position and can bring it along', async () => {
    const caller = await client(fleet, 0);
    await caller.query("INSERT INTO t VALUES ('d', 1)");
    const {rows} = await caller.query('SHOW bulrush.position');
    const position = rows[0]!['bulrush.position'] as string;
    expect(position).toMatch(/^1\/\d+$/);
    const moved = await client(fleet, 1, {class: 'review', position});
    expect(await outcome(moved, "SELECT n FROM t WHERE id = 'd'")).toEqual([
      {n: '1'},
    ]);
    await Promise.all([caller.end(), moved.end()]);
  });
});

describe('read-your-writes', () => {
  // A supervisor signs off through one proxy; the balancer sends the next
  // connection to another, whose nearest replica is half a second behind.
  it('holds after a move with nothing brought along, and lag', async () => {
    const {primary} = await fleet.primaryOf(SERVICE);
    for (const {name, port} of fleet.targets) {
      if (name === primary) continue;
      const replica = await direct(port);
      await replica.query("SET member.apply_lag_ms = '400'");
      await replica.end();
    }
    const writer = await client(fleet, 0);
    for (let count = 0; count < 10; count++) {
      await writer.query('INSERT INTO t VALUES ($1, 1)', [`move${count}`]);
      const moved = await client(fleet, 1, {class: 'review'});
      const rows = await outcome(moved, 'SELECT n FROM t WHERE id = $1', [
        `move${count}`,
      ]);
      expect(rows).toEqual([{n: '1'}]);
      await moved.end();
    }
    await writer.end();
    for (const {port} of fleet.targets) {
      const target = await direct(port);
      await target.query("SET member.apply_lag_ms = '0'");
      await target.end();
    }
  });
});

describe('a request key', () => {
  // The answer to a lodgement is lost and the caller sends it again, to
  // another proxy. It must get the first answer and run nothing.
  it('gives a repeat the first answer, on any proxy', async () => {
    const answers: unknown[] = [];
    for (const proxy of [0, 1, 0]) {
      const caller = await client(fleet, proxy, {request_key: 'lodge-1'});
      const text = "INSERT INTO t VALUES ('keyed', 7) RETURNING n";
      answers.push(await outcome(caller, text));
      await caller.end();
    }
    expect(answers).toEqual([[{n: '7'}], [{n: '7'}], [{n: '7'}]]);
  });

  it('lets one of many at once run, and all hear of it', async () => {
    const text = 'UPDATE t SET n = n + 1 WHERE id = $1 RETURNING n';
    const answers = await Promise.all(
      Array.from({length: 8}, async (...[, at]) => {
        const caller = await client(fleet, at % 2, {request_key: 'once'});
        const answer = await outcome(caller, text, ['keyed']);
        await caller.end();
        return answer;
      }),
    );
    expect(answers).toEqual(Array.from({length: 8}, () => [{n: '8'}]));
  });
});

describe('a target that leaves', () => {
  // A replica is about to be taken down. Whoever is sent there a few seconds
  // later meets a closed door. Control need not be there for it to hold.
  it('gets no new work within 2 seconds, also without control', async () => {
    const {primary} = await fleet.primaryOf(SERVICE);
    const replica = fleet.targets.find(({name}) => name !== primary)!;
    const statistics = await direct(replica.port);
    const executed = async () => {
      const {rows} = await statistics.query(
        "SELECT value FROM group_statistics WHERE name = 'executed'",
      );
      return Number(rows[0]!.value);
    };
    fleet.controls[0]!.sendSignal('SIGSTOP');
    await statistics.query("SET member.leaving = 'on'");
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const before = await executed();
    const caller = await client(fleet, 0, {class: 'review'});
    for (let count = 0; count < 30; count++) {
      await outcome(caller, 'SELECT id FROM t');
    }
    expect((await executed()) - before).toBe(1);
    fleet.controls[0]!.sendSignal('SIGCONT');
    await statistics.query("SET member.leaving = 'off'");
    await Promise.all([caller.end(), statistics.end()]);
  });
});

describe('a graceful stop', () => {
  // A proxy is replaced during the day. Transactions in progress run to their
  // end; new sessions are told to go elsewhere, and nothing is cut.
  it('cuts nothing in progress', async () => {
    const [, proxy] = fleet.proxies;
    const busy = await client(fleet, 1);
    const idle = await client(fleet, 1);
    const reading = outcome(await client(fleet, 1), 'SELECT pg_sleep(1)');
    await busy.query('BEGIN');
    await busy.query("INSERT INTO t VALUES ('stop', 1)");
    const exited = proxy!.waitForExit();
    proxy!.sendSignal('SIGTERM');
    await new Promise(resolve => setTimeout(resolve, 400));
    await expect(client(fleet, 1)).rejects.toThrow();
    expect(await outcome(idle, 'SELECT 1')).not.toEqual([{one: '1'}]);
    await busy.query("INSERT INTO t VALUES ('stop2', 1)");
    expect((await busy.query('COMMIT')).command).toBe('COMMIT');
    expect(await reading).toEqual([{pg_sleep: ''}]);
    expect(await exited).toBe(0);
    expect(proxy!.log).toContain('Drained. waitedFor=2');
  });
});

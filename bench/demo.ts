import {setTimeout as sleep} from 'node:timers/promises';
import pg from 'pg';
import {Fleet, fetchJson, waitUntil} from './fleet/fleet';

const SERVICE = 'accounts';
const READ_COUNT = 200;
const STATEMENT_TIMEOUT_MS = 4_000;

/** Demonstrates reads, writes and a failover on loopback. */
async function main(): Promise<void> {
  const staysUp = process.argv.includes('--stay');
  const startedAt = Date.now();
  const print = (text: string) => {
    const seconds = ((Date.now() - startedAt) / 1_000).toFixed(2);
    console.log(`[${seconds.padStart(6)} s] ${text}`);
  };
  const fleet = await Fleet.prepare({
    controls: 3,
    proxies: 3,
    services: [SERVICE],
    members: 3,
  });
  const stop = async () => {
    await fleet.stop();
    process.exit(process.exitCode ?? 0);
  };
  process.once('SIGINT', () => void stop());
  process.once('SIGTERM', () => void stop());
  try {
    print(
      'Starting 3 control instances, 3 proxies and a service of 3 members.',
    );
    fleet.startAll();
    await fleet.waitUntilReady();
    await runSteps(fleet, print);
    if (!staysUp) return;
    for (const {name, port} of fleet.proxies) {
      console.log(`${name}: postgres://demo@127.0.0.1:${port}/${SERVICE}`);
    }
    console.log('Running until Ctrl-C.');
    await new Promise(() => {});
  } catch (error) {
    console.error(error);
    for (const {name, log} of fleet.processes) console.error(name, log);
    process.exitCode = 1;
  } finally {
    await fleet.stop();
  }
}

async function runSteps(
  fleet: Fleet,
  print: (text: string) => void,
): Promise<void> {
  const first = await connectToProxy(fleet, 0);
  await first.query('CREATE TABLE filings (id text PRIMARY KEY, state text)');
  await first.query("INSERT INTO filings VALUES ('f1', 'lodged')");
  print('Wrote f1 through p1.');

  const second = await connectToProxy(fleet, 1, 'review');
  const readBack = await second.query(
    "SELECT state FROM filings WHERE id = 'f1'",
  );
  assertHolds(
    readBack.rows[0]?.state === 'lodged',
    'the session reads its own write through p2',
  );
  print('Read f1 through p2, without passing any state from p1.');

  await measureReplicaReads(fleet, second, print);
  await runFailover(fleet, first, print);
  const third = await connectToProxy(fleet, 2);
  const total = await third.query('SELECT count(*) AS n FROM filings');
  assertHolds(
    Number(total.rows[0]?.n) === 2,
    'both writes are stored exactly once',
  );
  print('Read both writes through p3; none was lost or duplicated.');
  await Promise.all([first.end(), second.end(), third.end()]);
}

async function measureReplicaReads(
  fleet: Fleet,
  client: pg.Client,
  print: (text: string) => void,
): Promise<void> {
  const outcomesBefore = await fetchOutcomes(fleet, 1);
  for (let count = 0; count < READ_COUNT; count++) {
    await client.query('SELECT id, state FROM filings');
  }
  const outcomesAfter = await fetchOutcomes(fleet, 1);
  const replicaReadCount = outcomesAfter['replica within age'] ?? 0;
  const replicaFraction =
    (replicaReadCount - (outcomesBefore['replica within age'] ?? 0)) /
    READ_COUNT;
  print(
    `Replicas served ${(replicaFraction * 100).toFixed(1)} % of ${READ_COUNT} reviews.`,
  );
}

async function runFailover(
  fleet: Fleet,
  client: pg.Client,
  print: (text: string) => void,
): Promise<void> {
  const {primary, term} = await fleet.primaryOf(SERVICE);
  print(
    `Killing the primary ${primary} of term ${term}; failover is automatic.`,
  );
  const killedAt = performance.now();
  await fleet.target(primary).kill('SIGKILL');
  await client.query("SET bulrush.request_key = 'demo-f2'");
  await client.query("INSERT INTO filings VALUES ('f2', 'lodged')");
  const gapMs = performance.now() - killedAt;
  const current = await fleet.primaryOf(SERVICE);
  print(`Wrote f2; ${current.primary} is the primary of term ${current.term}.`);
  print(`The failover gap was ${gapMs.toFixed(0)} ms.`);
  await waitUntil(
    async () => (await fleet.primaryOf(SERVICE)).term > term,
    'the next term',
  );
}

async function connectToProxy(
  fleet: Fleet,
  proxy: number,
  requestClass = 'default',
): Promise<pg.Client> {
  const client = new pg.Client({
    host: '127.0.0.1',
    port: fleet.proxies[proxy]!.port,
    user: 'demo',
    database: SERVICE,
    options: `-c bulrush.class=${requestClass}`,
    query_timeout: STATEMENT_TIMEOUT_MS,
  });
  client.on('error', () => {});
  await client.connect();
  await sleep(0);
  return client;
}

async function fetchOutcomes(
  fleet: Fleet,
  proxy: number,
): Promise<Record<string, number>> {
  const {statusPort} = fleet.proxies[proxy]!;
  const page = await fetchJson(statusPort, '/status');
  return (page as {outcomes: Record<string, number>}).outcomes;
}

function assertHolds(holds: boolean, what: string): void {
  if (!holds) throw new Error(`check failed: ${what}`);
}

void main();

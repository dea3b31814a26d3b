import {setTimeout as sleep} from 'node:timers/promises';
import pg from 'pg';
import {Fleet, fetchJson, until} from './fleet/fleet';

const SERVICE = 'accounts';
const READS = 200;
const STATEMENT_MS = 4_000;

/** Shows the whole path on loopback, step by step. */
async function main(): Promise<void> {
  const stays = process.argv.includes('--stay');
  const startedAt = Date.now();
  const say = (text: string) => {
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
    say('Starts 3 control, 3 proxies and one service of 3 members.');
    fleet.startAll();
    await fleet.ready();
    await tour(fleet, say);
    if (!stays) return;
    for (const {name, port} of fleet.proxies) {
      console.log(`${name}: postgres://demo@127.0.0.1:${port}/${SERVICE}`);
    }
    console.log('Stays up; end it with Ctrl-C.');
    await new Promise(() => {});
  } catch (error) {
    console.error(error);
    for (const {name, log} of fleet.processes) console.error(name, log);
    process.exitCode = 1;
  } finally {
    await fleet.stop();
  }
}

async function tour(fleet: Fleet, say: (text: string) => void): Promise<void> {
  const first = await connect(fleet, 0);
  await first.query('CREATE TABLE filings (id text PRIMARY KEY, state text)');
  await first.query("INSERT INTO filings VALUES ('f1', 'lodged')");
  say('Wrote f1 through p1.');

  const second = await connect(fleet, 1, 'review');
  const seen = await second.query("SELECT state FROM filings WHERE id = 'f1'");
  check(seen.rows[0]?.state === 'lodged', 'read its own write through p2');
  say('Read f1 through p2, which p1’s session never told anything.');

  await reviews(fleet, second, say);
  await failover(fleet, first, say);
  const third = await connect(fleet, 2);
  const all = await third.query('SELECT count(*) AS n FROM filings');
  check(Number(all.rows[0]?.n) === 2, 'both writes are there exactly once');
  say('Read both writes through p3: nothing lost, nothing doubled.');
  await Promise.all([first.end(), second.end(), third.end()]);
}

async function reviews(
  fleet: Fleet,
  client: pg.Client,
  say: (text: string) => void,
): Promise<void> {
  const before = await outcomes(fleet, 1);
  for (let count = 0; count < READS; count++) {
    await client.query('SELECT id, state FROM filings');
  }
  const after = await outcomes(fleet, 1);
  const served = after['replica within age'] ?? 0;
  const share = (served - (before['replica within age'] ?? 0)) / READS;
  say(`Replicas served ${(share * 100).toFixed(1)} % of ${READS} reviews.`);
}

async function failover(
  fleet: Fleet,
  client: pg.Client,
  say: (text: string) => void,
): Promise<void> {
  const {primary, term} = await fleet.primaryOf(SERVICE);
  say(`Kills the primary ${primary} of term ${term}; nobody orders anything.`);
  const lostAt = performance.now();
  await fleet.target(primary).end('SIGKILL');
  await client.query("SET bulrush.request_key = 'demo-f2'");
  await client.query("INSERT INTO filings VALUES ('f2', 'lodged')");
  const gapMs = performance.now() - lostAt;
  const now = await fleet.primaryOf(SERVICE);
  say(`Wrote f2: ${now.primary} leads term ${now.term}.`);
  say(`The failover gap was ${gapMs.toFixed(0)} ms.`);
  await until(async () => (await fleet.primaryOf(SERVICE)).term > term, 'term');
}

async function connect(
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
    query_timeout: STATEMENT_MS,
  });
  client.on('error', () => {});
  await client.connect();
  await sleep(0);
  return client;
}

async function outcomes(
  fleet: Fleet,
  proxy: number,
): Promise<Record<string, number>> {
  const {statusPort} = fleet.proxies[proxy]!;
  const page = await fetchJson(statusPort, '/status');
  return (page as {outcomes: Record<string, number>}).outcomes;
}

function check(holds: boolean, what: string): void {
  if (!holds) throw new Error(`not so: ${what}`);
}

void main();

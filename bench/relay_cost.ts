import {spawn, type ChildProcess} from 'node:child_process';
import {createConnection, createServer, type Socket} from 'node:net';
import {build, type Histogram} from 'hdr-histogram-js';
import pg from 'pg';
import {serialize} from 'pg-protocol';
import {FrameDecoder, typeByteOf} from '../src/services/wire/common/frames';
import {cpuTimeOf} from './fleet/cpu_time';
import {Fleet, type ProxyProcess, isListening, until} from './fleet/fleet';
import {freePorts} from './fleet/ports';

const SERVICE = 'bench';
const CONNECTIONS = 32;
const ROUND_MS = 2_500;
const ROUNDS = 3;
const READY = typeByteOf('Z');
const QUERY = "SELECT state FROM filings WHERE id = 'f1'";

/** One way to the stand-in. */
interface Way {
  readonly name: string;
  readonly port: number;
  /** The process between client and stand-in, if there is one. */
  readonly processId: number | undefined;
  cpuMs: number;
  statements: number;
  readonly latency: Histogram;
  readonly throughputs: number[];
}

/** Compares the proxy with a bare relay and with no relay, in one run. */
async function main(): Promise<void> {
  const [relayPort = 0] = await freePorts(1);
  const fleet = await Fleet.start({
    controls: 1,
    proxies: 1,
    services: [SERVICE],
    members: 1,
    service: {connections: 40, proxies: 1, confirmations: 0, queue: 1_000},
    standin: ['--connections', '120', '--slots', '120'],
  });
  const target = fleet.targets[0]!.port;
  const [proxy] = fleet.proxies as [ProxyProcess];
  const relay = startRelay(relayPort, target);
  try {
    await until(() => isListening(relayPort), 'the relay');
    await prepare(target);
    const ways = [
      way('straight to the stand-in', target, undefined),
      way('bare relay', relayPort, relay.pid),
      way('bulrushstage-proxy', proxy.port, proxy.processId),
    ];
    for (let round = 0; round < ROUNDS; round++) {
      for (const each of ways) await measure(each);
    }
    report(ways);
  } finally {
    await proxy.end('SIGTERM');
    relay.kill();
    await fleet.stop();
  }
  process.exit();
}

function way(name: string, port: number, processId: number | undefined): Way {
  const latency = build({numberOfSignificantValueDigits: 3, autoResize: true});
  const counts = {cpuMs: 0, statements: 0};
  return {name, port, processId, latency, throughputs: [], ...counts};
}

async function prepare(port: number): Promise<void> {
  const client = new pg.Client({
    host: '127.0.0.1',
    port,
    user: 'bench',
    database: SERVICE,
  });
  await client.connect();
  await client.query('CREATE TABLE filings (id text PRIMARY KEY, state text)');
  await client.query("INSERT INTO filings VALUES ('f1', 'lodged')");
  await client.end();
}

/** One round of closed-loop questions over all connections. */
async function measure(each: Way): Promise<void> {
  const end = performance.now() + ROUND_MS;
  const before = each.processId ? cpuTimeOf(each.processId) : 0;
  const counts = await Promise.all(
    Array.from({length: CONNECTIONS}, () => ask(each, end)),
  );
  const total = counts.reduce((sum, count) => sum + count, 0);
  if (each.processId) each.cpuMs += cpuTimeOf(each.processId) - before;
  each.statements += total;
  each.throughputs.push((total * 1_000) / ROUND_MS);
}

function ask({port, latency}: Way, end: number): Promise<number> {
  return new Promise(resolve => {
    const socket = createConnection(port, '127.0.0.1');
    const splitter = new FrameDecoder(1_000_000);
    const query = serialize.query(QUERY);
    let count = -1;
    let sentAt = 0;
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => resolve(Math.max(0, count)));
    socket.on('data', chunk => {
      const frames = splitter.push(chunk);
      if ('type' in frames) return socket.destroy();
      if (!frames.some(({type}) => type === READY)) return;
      const now = performance.now();
      if (count >= 0) latency.recordValue(Math.round((now - sentAt) * 1_000));
      count++;
      if (now >= end) return socket.end(serialize.end());
      sentAt = now;
      socket.write(query);
    });
    const login = {user: 'bench', database: SERVICE};
    socket.write(serialize.startup(login as never));
  });
}

function report(ways: readonly Way[]): void {
  const [straight, bare] = ways as [Way, Way];
  console.log(`${CONNECTIONS} connections, ${ROUNDS} rounds: ${QUERY}`);
  for (const each of ways) {
    const rate = median(each.throughputs).toFixed(0).padStart(7);
    const added = `p50 ${addedBy(each, straight, 50)}, p99 ${addedBy(each, straight, 99)}`;
    console.log(`${each.name.padEnd(26)} ${rate} a second, ${added}`);
    if (!each.processId) continue;
    const ratio = (costOf(bare) / costOf(each)).toFixed(2);
    const perCore = (1e6 / costOf(each)).toFixed(0);
    console.log(
      `${''.padEnd(26)} ${costOf(each).toFixed(1)} µs of processor a ` +
        `statement: ${perCore} a second on one core, ${ratio} of the relay`,
    );
  }
}

/** Processor time of a statement, in microseconds. */
function costOf({cpuMs, statements}: Way): number {
  return (cpuMs * 1_000) / statements;
}

function addedBy(each: Way, straight: Way, percentile: number): string {
  const own = each.latency.getValueAtPercentile(percentile);
  const least = straight.latency.getValueAtPercentile(percentile);
  return `${own < least ? '' : '+'}${((own - least) / 1_000).toFixed(2)} ms`;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

/** The bare relay, in a process of its own like the proxy. */
function startRelay(port: number, target: number): ChildProcess {
  const args = [process.argv[1]!, '--relay', String(port), String(target)];
  return spawn(process.execPath, args, {stdio: 'inherit'});
}

function runRelay(port: number, target: number): void {
  const join = (near: Socket) => {
    const far = createConnection(target, '127.0.0.1');
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.on('error', () => far.destroy());
    far.on('error', () => near.destroy());
    near.pipe(far);
    far.pipe(near);
  };
  createServer(join).listen(port, '127.0.0.1');
}

const [, , mode, port, target] = process.argv;
if (mode === '--relay') runRelay(Number(port), Number(target));
else void main();

import {spawn, type ChildProcess} from 'node:child_process';
import {createConnection, createServer, type Socket} from 'node:net';
import {build, type Histogram} from 'hdr-histogram-js';
import pg from 'pg';
import {serialize} from 'pg-protocol';
import {FrameDecoder, typeByteOf} from '../src/services/wire/common/frames';
import {cpuTimeMsOf} from './fleet/cpu_time';
import {Fleet, type ProxyProcess, isListening, waitUntil} from './fleet/fleet';
import {PortBlock} from './fleet/port_block';

const SERVICE = 'bench';
const CONNECTION_COUNT = 32;
const ROUND_DURATION_MS = 2_500;
const ROUND_COUNT = 3;
const READY = typeByteOf('Z');
const QUERY = "SELECT state FROM filings WHERE id = 'f1'";

/** A measured connection path to the stand-in database. */
interface Path {
  readonly name: string;
  readonly port: number;
  /** Process between the client and the stand-in; undefined if direct. */
  readonly processId: number | undefined;
  cpuMs: number;
  statementCount: number;
  readonly latency: Histogram;
  readonly throughputs: number[];
}

/** Compares the proxy with a plain TCP relay and a direct connection. */
async function main(): Promise<void> {
  const portBlock = await PortBlock.claim();
  const [relayPort = 0] = await portBlock.take(1);
  const fleet = await Fleet.start({
    controls: 1,
    proxies: 1,
    services: [SERVICE],
    members: 1,
    service: {connections: 40, proxies: 1, confirmations: 0, queue: 1_000},
    standin: ['--connections', '120', '--slots', '120'],
  });
  const targetPort = fleet.targets[0]!.port;
  const [proxy] = fleet.proxies as [ProxyProcess];
  const relay = startRelay(relayPort, targetPort);
  try {
    await waitUntil(() => isListening(relayPort), 'the relay');
    await prepare(targetPort);
    const paths = [
      createPath('direct connection', targetPort, undefined),
      createPath('plain TCP relay', relayPort, relay.pid),
      createPath('bulrushstage-proxy', proxy.port, proxy.processId),
    ];
    for (let round = 0; round < ROUND_COUNT; round++) {
      for (const path of paths) await measure(path);
    }
    printReport(paths);
  } finally {
    await proxy.kill('SIGTERM');
    relay.kill();
    await fleet.stop();
    await portBlock.release();
  }
  process.exit();
}

function createPath(
  name: string,
  port: number,
  processId: number | undefined,
): Path {
  const latency = build({numberOfSignificantValueDigits: 3, autoResize: true});
  const counts = {cpuMs: 0, statementCount: 0};
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

/** Runs one round of closed-loop queries over all connections. */
async function measure(path: Path): Promise<void> {
  const endAt = performance.now() + ROUND_DURATION_MS;
  const cpuMsBefore = path.processId ? cpuTimeMsOf(path.processId) : 0;
  const counts = await Promise.all(
    Array.from({length: CONNECTION_COUNT}, () => runClient(path, endAt)),
  );
  const total = counts.reduce((sum, count) => sum + count, 0);
  if (path.processId) path.cpuMs += cpuTimeMsOf(path.processId) - cpuMsBefore;
  path.statementCount += total;
  path.throughputs.push((total * 1_000) / ROUND_DURATION_MS);
}

function runClient({port, latency}: Path, endAt: number): Promise<number> {
  return new Promise(resolve => {
    const socket = createConnection(port, '127.0.0.1');
    const decoder = new FrameDecoder(1_000_000);
    const query = serialize.query(QUERY);
    let count = -1;
    let sentAt = 0;
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => resolve(Math.max(0, count)));
    socket.on('data', chunk => {
      const frames = decoder.push(chunk);
      if ('type' in frames) return socket.destroy();
      if (!frames.some(({type}) => type === READY)) return;
      const now = performance.now();
      if (count >= 0) latency.recordValue(Math.round((now - sentAt) * 1_000));
      count++;
      if (now >= endAt) return socket.end(serialize.end());
      sentAt = now;
      socket.write(query);
    });
    const login = {user: 'bench', database: SERVICE};
    socket.write(serialize.startup(login as never));
  });
}

function printReport(paths: readonly Path[]): void {
  const [directPath, relayPath] = paths as [Path, Path];
  console.log(
    `${CONNECTION_COUNT} connections, ${ROUND_COUNT} rounds: ${QUERY}`,
  );
  for (const path of paths) {
    const throughput = median(path.throughputs).toFixed(0).padStart(7);
    const addedLatency = `p50 ${formatAddedLatency(path, directPath, 50)}, p99 ${formatAddedLatency(path, directPath, 99)}`;
    console.log(
      `${path.name.padEnd(26)} ${throughput} per second, ${addedLatency}`,
    );
    if (!path.processId) continue;
    const relativeThroughput = (
      cpuUsPerStatement(relayPath) / cpuUsPerStatement(path)
    ).toFixed(2);
    const throughputPerCore = (1e6 / cpuUsPerStatement(path)).toFixed(0);
    console.log(
      `${''.padEnd(26)} ${cpuUsPerStatement(path).toFixed(1)} µs of CPU per ` +
        `statement: ${throughputPerCore} per second on one core, ${relativeThroughput} of the relay`,
    );
  }
}

/** Returns the mean CPU time of a statement, in microseconds. */
function cpuUsPerStatement({cpuMs, statementCount}: Path): number {
  return (cpuMs * 1_000) / statementCount;
}

function formatAddedLatency(
  measured: Path,
  baseline: Path,
  percentile: number,
): string {
  const latency = measured.latency.getValueAtPercentile(percentile);
  const baselineLatency = baseline.latency.getValueAtPercentile(percentile);
  return `${latency < baselineLatency ? '' : '+'}${((latency - baselineLatency) / 1_000).toFixed(2)} ms`;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

/** Starts the TCP relay in a separate process, as the proxy is. */
function startRelay(port: number, targetPort: number): ChildProcess {
  const args = [process.argv[1]!, '--relay', String(port), String(targetPort)];
  return spawn(process.execPath, args, {stdio: 'inherit'});
}

function runRelay(port: number, targetPort: number): void {
  const accept = (client: Socket) => {
    const upstream = createConnection(targetPort, '127.0.0.1');
    client.setNoDelay(true);
    upstream.setNoDelay(true);
    client.on('error', () => upstream.destroy());
    upstream.on('error', () => client.destroy());
    client.pipe(upstream);
    upstream.pipe(client);
  };
  createServer(accept).listen(port, '127.0.0.1');
}

const [, , mode, port, target] = process.argv;
if (mode === '--relay') runRelay(Number(port), Number(target));
else void main();

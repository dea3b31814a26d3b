import {setTimeout as sleep} from 'node:timers/promises';
import {fetchJson, Fleet} from './fleet/fleet';
import {runLoad} from '../src/load/node/load_run';

const SERVICE = 'bench';
const LOAD_SECONDS = 4;
const APPLY_LAGS_MS = [5, 100, 400, 1_200];

/** Compares reads that accept stale data with reads at the primary only. */
async function main(): Promise<void> {
  for (const lagMs of APPLY_LAGS_MS) {
    for (const requestClass of ['review', 'filing']) {
      console.log(await measureLoad(lagMs, requestClass));
    }
  }
  process.exit();
}

async function measureLoad(
  lagMs: number,
  requestClass: string,
): Promise<string> {
  const fleet = await Fleet.start({
    controls: 1,
    proxies: 3,
    services: [SERVICE],
    members: 3,
    service: {slots: 2, connections: 16},
    classes:
      '[class.review]\nage_ms = 1000\n[class.filing]\nage_ms = 0\npriority = 1',
    standin: [
      ...['--slots', '2', '--connections', '16', '--statement-cost-ms', '2'],
      ...['--connection-cost-ms', '12', '--apply-lag-ms', String(lagMs)],
    ],
  });
  try {
    await sleep(1_500);
    const result = await runLoad(
      {
        proxies: fleet.proxies.map(({port}) => `127.0.0.1:${port}`),
        service: SERVICE,
        classes: [
          {name: 'filing', caller: 'a', kind: 'write', rate: 60, sessions: 6},
          {
            name: requestClass,
            caller: 'b',
            kind: 'read',
            rate: 600,
            sessions: 24,
          },
        ],
        seconds: LOAD_SECONDS,
        seed: 1,
      },
      new AbortController().signal,
    );
    const replicaFraction = await replicaReadFraction(fleet);
    const read = result.classes.find(({kind}) => kind === 'read')!;
    const write = result.classes.find(({kind}) => kind === 'write')!;
    const policy = requestClass === 'review' ? 'age 1000 ms' : 'primary only';
    return (
      `lag ${lagMs} ms, ${policy}: replicas served ${(replicaFraction * 100).toFixed(1)} %, ` +
      `reads p50 ${read.p50Ms.toFixed(1)} p99 ${read.p99Ms.toFixed(1)} ms ` +
      `(${read.done} of ${read.offered} done), ` +
      `writes p50 ${write.p50Ms.toFixed(1)} p99 ${write.p99Ms.toFixed(1)} ms`
    );
  } finally {
    await fleet.stop();
  }
}

async function replicaReadFraction(fleet: Fleet): Promise<number> {
  let replicaReadCount = 0;
  let readCount = 0;
  for (const {statusPort} of fleet.proxies) {
    const page = await fetchJson(statusPort, '/status');
    const {outcomes} = page as {outcomes: Record<string, number>};
    for (const [outcome, count] of Object.entries(outcomes)) {
      if (outcome === 'primary for a write' || outcome === 'not run') continue;
      readCount += count;
      if (outcome.includes('replica')) {
        replicaReadCount += outcome.startsWith('primary') ? 0 : count;
      }
    }
  }
  return readCount === 0 ? 0 : replicaReadCount / readCount;
}

void main();

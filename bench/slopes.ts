import {setTimeout as sleep} from 'node:timers/promises';
import {cpuTimeOf, memoryOf} from './fleet/cpu_time';
import {Fleet} from './fleet/fleet';
import {runLoad} from '../src/load/node/load_run';

const WINDOW_MS = 5_000;
/** Code is compiled as it warms up; that is no steady cost. */
const WARM_UP_MS = 6_000;
/** Services and proxies. */
const SIZES = [
  [1, 1],
  [1, 4],
  [4, 1],
  [4, 4],
  [12, 1],
  [12, 4],
] as const;

/** What one role spent while nothing but control went on. */
interface Idle {
  readonly services: number;
  readonly proxies: number;
  readonly controlCorePercent: number;
  readonly controlMegabytes: number;
  readonly proxyCorePercent: number;
  readonly proxyMegabytes: number;
}

/** Measures what roles cost at several sizes, for docs/CAPACITY.md. */
async function main(): Promise<void> {
  const sessionsOnly = process.argv.includes('--sessions');
  const first = process.argv.includes('--first');
  for (const [services, proxies] of sessionsOnly
    ? []
    : SIZES.slice(0, first ? 1 : SIZES.length)) {
    const idle = await measureIdle(services, proxies);
    console.log(
      `${services} services, ${proxies} proxies: ` +
        `control leader ${idle.controlCorePercent.toFixed(2)} % of a core, ` +
        `${idle.controlMegabytes.toFixed(0)} MB; ` +
        `proxy ${idle.proxyCorePercent.toFixed(2)} %, ` +
        `${idle.proxyMegabytes.toFixed(0)} MB`,
    );
  }
  if (first) process.exit();
  for (const sessions of [1, 500, 1_000]) await measureSessions(sessions);
  process.exit();
}

async function measureIdle(services: number, proxies: number): Promise<Idle> {
  const fleet = await Fleet.start({
    controls: 1,
    proxies,
    services: Array.from({length: services}, (...[, at]) => `s${at}`),
    members: 3,
  });
  try {
    await sleep(WARM_UP_MS);
    const [control] = fleet.controls;
    const [proxy] = fleet.proxies;
    const ids = [control!.processId, proxy!.processId] as const;
    const before = ids.map(cpuTimeOf);
    await sleep(WINDOW_MS);
    const spent = ids.map((...[id, at]) => {
      return ((cpuTimeOf(id) - before[at]!) / WINDOW_MS) * 100;
    });
    return {
      services,
      proxies,
      controlCorePercent: spent[0]!,
      controlMegabytes: memoryOf(ids[0]),
      proxyCorePercent: spent[1]!,
      proxyMegabytes: memoryOf(ids[1]),
    };
  } finally {
    await fleet.stop();
  }
}

/** Memory of a proxy with many sessions, and its cost of a statement. */
async function measureSessions(sessions: number): Promise<void> {
  const fleet = await Fleet.start({
    controls: 1,
    proxies: 1,
    services: ['s'],
    members: 3,
    service: {connections: 16},
  });
  try {
    const proxy = fleet.proxies[0]!;
    const before = cpuTimeOf(proxy.processId);
    let peak = 0;
    const sampler = setInterval(() => {
      peak = Math.max(peak, memoryOf(proxy.processId));
    }, 100);
    const result = await runLoad(
      {
        proxies: [`127.0.0.1:${proxy.port}`],
        service: 's',
        classes: [
          {name: 'review', caller: 'a', kind: 'read', rate: 1_000, sessions},
        ],
        seconds: 4,
        seed: 1,
      },
      new AbortController().signal,
    );
    clearInterval(sampler);
    const spent = cpuTimeOf(proxy.processId) - before;
    const {done} = result.classes[0]!;
    console.log(
      `${sessions} sessions: proxy ${peak.toFixed(0)} MB at most, ` +
        `${done} reads, ${((spent * 1_000) / done).toFixed(0)} µs of processor each`,
    );
  } finally {
    await fleet.stop();
  }
}

void main();

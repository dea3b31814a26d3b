import {setTimeout as sleep} from 'node:timers/promises';
import {cpuTimeMsOf, residentMegabytesOf} from './fleet/cpu_time';
import {Fleet} from './fleet/fleet';
import {runLoad} from '../src/load/node/load_run';

const MEASUREMENT_MS = 5_000;
/** Excludes the cost of JIT compilation from the measurement. */
const WARM_UP_MS = 6_000;
/** Pairs of service count and proxy count. */
const FLEET_SIZES = [
  [1, 1],
  [1, 4],
  [4, 1],
  [4, 4],
  [12, 1],
  [12, 4],
] as const;

/** Resource usage of idle processes in a fleet without load. */
interface IdleUsage {
  readonly serviceCount: number;
  readonly proxyCount: number;
  readonly controlCorePercent: number;
  readonly controlMegabytes: number;
  readonly proxyCorePercent: number;
  readonly proxyMegabytes: number;
}

/** Measures CPU and memory per role at several fleet sizes. */
async function main(): Promise<void> {
  const skipsIdle = process.argv.includes('--sessions');
  const onlyFirst = process.argv.includes('--first');
  for (const [serviceCount, proxyCount] of skipsIdle
    ? []
    : FLEET_SIZES.slice(0, onlyFirst ? 1 : FLEET_SIZES.length)) {
    const usage = await measureIdle(serviceCount, proxyCount);
    console.log(
      `${serviceCount} services, ${proxyCount} proxies: ` +
        `control leader ${usage.controlCorePercent.toFixed(2)} % of a core, ` +
        `${usage.controlMegabytes.toFixed(0)} MB; ` +
        `proxy ${usage.proxyCorePercent.toFixed(2)} %, ` +
        `${usage.proxyMegabytes.toFixed(0)} MB`,
    );
  }
  if (onlyFirst) process.exit();
  for (const count of [1, 500, 1_000]) await measureSessions(count);
  process.exit();
}

async function measureIdle(
  serviceCount: number,
  proxyCount: number,
): Promise<IdleUsage> {
  const fleet = await Fleet.start({
    controls: 1,
    proxies: proxyCount,
    services: Array.from({length: serviceCount}, (...[, index]) => `s${index}`),
    members: 3,
  });
  try {
    await sleep(WARM_UP_MS);
    const [control] = fleet.controls;
    const [proxy] = fleet.proxies;
    const processIds = [control!.processId, proxy!.processId] as const;
    const cpuMsBefore = processIds.map(cpuTimeMsOf);
    await sleep(MEASUREMENT_MS);
    const corePercents = processIds.map((...[id, index]) => {
      return ((cpuTimeMsOf(id) - cpuMsBefore[index]!) / MEASUREMENT_MS) * 100;
    });
    return {
      serviceCount,
      proxyCount,
      controlCorePercent: corePercents[0]!,
      controlMegabytes: residentMegabytesOf(processIds[0]),
      proxyCorePercent: corePercents[1]!,
      proxyMegabytes: residentMegabytesOf(processIds[1]),
    };
  } finally {
    await fleet.stop();
  }
}

/** Measures a proxy's peak memory and CPU time per read under load. */
async function measureSessions(sessionCount: number): Promise<void> {
  const fleet = await Fleet.start({
    controls: 1,
    proxies: 1,
    services: ['s'],
    members: 3,
    service: {connections: 16},
  });
  try {
    const proxy = fleet.proxies[0]!;
    const cpuMsBefore = cpuTimeMsOf(proxy.processId);
    let peakMb = 0;
    const sampler = setInterval(() => {
      peakMb = Math.max(peakMb, residentMegabytesOf(proxy.processId));
    }, 100);
    const result = await runLoad(
      {
        proxies: [`127.0.0.1:${proxy.port}`],
        service: 's',
        classes: [
          {
            name: 'review',
            caller: 'a',
            kind: 'read',
            rate: 1_000,
            sessions: sessionCount,
          },
        ],
        seconds: 4,
        seed: 1,
      },
      new AbortController().signal,
    );
    clearInterval(sampler);
    const cpuMs = cpuTimeMsOf(proxy.processId) - cpuMsBefore;
    const {done} = result.classes[0]!;
    console.log(
      `${sessionCount} sessions: proxy ${peakMb.toFixed(0)} MB peak, ` +
        `${done} reads, ${((cpuMs * 1_000) / done).toFixed(0)} µs of CPU per read`,
    );
  } finally {
    await fleet.stop();
  }
}

void main();

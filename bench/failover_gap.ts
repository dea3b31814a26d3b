import {Fleet, waitUntil, type FleetPlan} from './fleet/fleet';
import {runLoad, type LoadReport} from '../src/load/node/load_run';

const SERVICE = 'bench';
const REPEAT_COUNT = Number(process.argv[2] ?? 5);
const LOAD_SECONDS = 5;
const FAULT_AFTER_MS = 1_200;

/** Service sizes of both users; loopback adds no network latency. */
const PLANS_BY_USER: Readonly<Record<string, Partial<FleetPlan>>> = {
  derwent: {
    service: {slots: 2, connections: 16},
    standin: [
      ...['--slots', '2', '--connections', '16'],
      ...['--connection-cost-ms', '12', '--apply-lag-ms', '20'],
    ],
  },
  volta: {
    service: {slots: 3, connections: 40},
    standin: [
      ...['--slots', '3', '--connections', '40'],
      ...['--connection-cost-ms', '30', '--apply-lag-ms', '20'],
    ],
  },
};

type Fault = (fleet: Fleet, primary: string) => Promise<void>;

const FAULTS: Readonly<Record<string, Fault>> = {
  kill: async (fleet, primary) => {
    await fleet.target(primary).kill();
  },
  freeze: async (fleet, primary) => fleet.target(primary).sendSignal('SIGSTOP'),
};

/** Durations and outcomes of one failover. */
interface FailoverMeasurement {
  readonly detectionMs: number;
  readonly promotionMs: number;
  readonly firstWriteMs: number;
  readonly gapMs: number;
  readonly servedReadFraction: number;
  readonly violationCount: number;
}

async function main(): Promise<void> {
  for (const [user, plan] of Object.entries(PLANS_BY_USER)) {
    for (const [name, fault] of Object.entries(FAULTS)) {
      const measurements: FailoverMeasurement[] = [];
      for (let repeat = 0; repeat < REPEAT_COUNT; repeat++) {
        measurements.push(await measureFailover(plan, fault, repeat + 1));
      }
      printReport(user, name, measurements);
    }
  }
  process.exit();
}

async function measureFailover(
  plan: Partial<FleetPlan>,
  fault: Fault,
  seed: number,
): Promise<FailoverMeasurement> {
  const fleet = await Fleet.start({
    controls: 3,
    proxies: 3,
    services: [SERVICE],
    members: 3,
    ...plan,
  });
  try {
    await new Promise(resolve => setTimeout(resolve, 1_500));
    const {primary, term} = await fleet.primaryOf(SERVICE);
    let faultAt = 0;
    const faultTimer = setTimeout(() => {
      faultAt = Date.now();
      void fault(fleet, primary);
    }, FAULT_AFTER_MS);
    const result = await runLoad(
      {
        proxies: fleet.proxies.map(({port}) => `127.0.0.1:${port}`),
        service: SERVICE,
        classes: [
          {name: 'filing', caller: 'a', kind: 'write', rate: 150, sessions: 6},
          {name: 'review', caller: 'b', kind: 'read', rate: 300, sessions: 6},
        ],
        seconds: LOAD_SECONDS,
        seed,
      },
      new AbortController().signal,
    );
    clearTimeout(faultTimer);
    await waitUntil(async () => {
      return (await fleet.primaryOf(SERVICE)).term > term;
    }, 'a new primary');
    return createMeasurement(fleet, faultAt, result);
  } finally {
    await fleet.stop();
  }
}

function createMeasurement(
  fleet: Fleet,
  faultAt: number,
  result: LoadReport,
): FailoverMeasurement {
  const log = fleet.controls.map(control => control.log).join('\n');
  const changeStartedAt = findLogTime(log, 'Began a change', faultAt);
  const primaryChosenAt = findLogTime(log, 'Chose a primary', faultAt);
  const write = result.classes.find(({kind}) => kind === 'write')!;
  const detectionMs = changeStartedAt - faultAt;
  const promotionMs = primaryChosenAt - changeStartedAt;
  const firstWriteMs = Math.max(0, write.gapMs - detectionMs - promotionMs);
  const violationCount = result.lost + result.doubled + result.returned;
  const read = result.classes.find(({kind}) => kind === 'read')!;
  const servedReadFraction = read.done / read.offered;
  return {
    detectionMs,
    promotionMs,
    firstWriteMs,
    gapMs: write.gapMs,
    servedReadFraction,
    violationCount,
  };
}

/** Finds when a sentence is first logged at or after a moment. */
function findLogTime(log: string, sentence: string, after: number): number {
  const times = log
    .split('\n')
    .filter(line => line.includes(sentence))
    .map(line => Date.parse(line.split(' ')[0]!))
    .filter(time => time >= after);
  return Math.min(...times);
}

function printReport(
  user: string,
  fault: string,
  measurements: readonly FailoverMeasurement[],
): void {
  const formatSpread = (
    select: (measurement: FailoverMeasurement) => number,
  ) => {
    const values = measurements.map(select).sort((a, b) => a - b);
    const median = values[Math.floor(values.length / 2)]!;
    const max = values.at(-1)!;
    return `${median.toFixed(0)} (max ${max.toFixed(0)})`;
  };
  const violationCount = measurements.reduce(
    (sum, measurement) => sum + measurement.violationCount,
    0,
  );
  const minServedFraction = Math.min(
    ...measurements.map(({servedReadFraction}) => servedReadFraction),
  );
  console.log(
    `${user} ${fault}: gap ${formatSpread(({gapMs}) => gapMs)} ms over ${measurements.length} runs; ` +
      `detection ${formatSpread(({detectionMs}) => detectionMs)}, ` +
      `lease and promotion ${formatSpread(({promotionMs}) => promotionMs)}, ` +
      `first write ${formatSpread(({firstWriteMs}) => firstWriteMs)}; ` +
      `reads done at least ${(minServedFraction * 100).toFixed(1)} %; ` +
      `guarantees violated ${violationCount}`,
  );
}

void main();

import {Fleet, until, type FleetPlan} from './fleet/fleet';
import {runLoad, type LoadReport} from '../src/load/node/load_run';

const SERVICE = 'bench';
const REPEATS = Number(process.argv[2] ?? 5);
const LOAD_SECONDS = 5;
const FAULT_AFTER_MS = 1_200;

/** Both users' sizes of a service; loopback, so without their latencies. */
const USERS: Readonly<Record<string, Partial<FleetPlan>>> = {
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
    await fleet.target(primary).end();
  },
  freeze: async (fleet, primary) => fleet.target(primary).signal('SIGSTOP'),
};

/** The parts of one failover, in milliseconds. */
interface Parts {
  readonly detection: number;
  readonly promotion: number;
  readonly firstWrite: number;
  readonly gap: number;
  readonly share: number;
  readonly broken: number;
}

async function main(): Promise<void> {
  for (const [user, plan] of Object.entries(USERS)) {
    for (const [name, fault] of Object.entries(FAULTS)) {
      const all: Parts[] = [];
      for (let repeat = 0; repeat < REPEATS; repeat++) {
        all.push(await once(plan, fault, repeat + 1));
      }
      report(user, name, all);
    }
  }
  process.exit();
}

async function once(
  plan: Partial<FleetPlan>,
  fault: Fault,
  seed: number,
): Promise<Parts> {
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
    const faulty = setTimeout(() => {
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
    clearTimeout(faulty);
    await until(async () => {
      return (await fleet.primaryOf(SERVICE)).term > term;
    }, 'a new primary');
    return partsOf(fleet, faultAt, result);
  } finally {
    await fleet.stop();
  }
}

function partsOf(fleet: Fleet, faultAt: number, result: LoadReport): Parts {
  const log = fleet.controls.map(control => control.log).join('\n');
  const begunAt = timeOf(log, 'Begins a change', faultAt);
  const chosenAt = timeOf(log, 'Chooses a primary', faultAt);
  const write = result.classes.find(({kind}) => kind === 'write')!;
  const detection = begunAt - faultAt;
  const promotion = chosenAt - begunAt;
  const firstWrite = Math.max(0, write.gapMs - detection - promotion);
  const broken = result.lost + result.doubled + result.returned;
  const read = result.classes.find(({kind}) => kind === 'read')!;
  const share = read.done / read.offered;
  return {
    detection,
    promotion,
    firstWrite,
    gap: write.gapMs,
    share,
    broken,
  };
}

/** The time of the first line with a sentence after a time. */
function timeOf(log: string, sentence: string, after: number): number {
  const times = log
    .split('\n')
    .filter(line => line.includes(sentence))
    .map(line => Date.parse(line.split(' ')[0]!))
    .filter(time => time >= after);
  return Math.min(...times);
}

function report(user: string, fault: string, all: readonly Parts[]): void {
  const spread = (pick: (parts: Parts) => number) => {
    const values = all.map(pick).sort((a, b) => a - b);
    const middle = values[Math.floor(values.length / 2)]!;
    const most = values.at(-1)!;
    return `${middle.toFixed(0)} (most ${most.toFixed(0)})`;
  };
  const broken = all.reduce((sum, parts) => sum + parts.broken, 0);
  const served = Math.min(...all.map(({share}) => share));
  console.log(
    `${user} ${fault}: gap ${spread(({gap}) => gap)} ms of ${all.length}; ` +
      `detection ${spread(({detection}) => detection)}, ` +
      `lease and promotion ${spread(({promotion}) => promotion)}, ` +
      `first write ${spread(({firstWrite}) => firstWrite)}; ` +
      `reads done at least ${(served * 100).toFixed(1)} %; ` +
      `promises broken ${broken}`,
  );
}

void main();

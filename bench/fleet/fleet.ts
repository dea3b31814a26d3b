import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createConnection} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {describeProcesses, FleetProcess, killAll} from './fleet_process';
import {PortBlock} from './port_block';

const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 25;

/** Composition of a fleet. */
export interface FleetPlan {
  readonly controls: number;
  readonly proxies: number;
  readonly services: readonly string[];
  readonly members: number;
  /** Additional keys for the [system] section of the settings. */
  readonly system?: Readonly<Record<string, string | number>>;
  /** Additional keys for each [service.*] section. */
  readonly service?: Readonly<Record<string, string | number>>;
  /** Text of the class sections; replaces the default classes. */
  readonly classes?: string;
  /** Additional arguments for every stand-in process. */
  readonly standin?: readonly string[];
  /** Sites, assigned to members and to proxies in turn. */
  readonly sites?: readonly string[];
  /** False if the caller starts the target processes itself. */
  readonly startTargets?: boolean;
  /** Replaces an observer's address in the arguments of a target. */
  readonly mapObserver?: (address: string, target: string) => string;
}

/** A process that runs a member of a service. */
export interface FleetTarget extends FleetProcess {
  readonly service: string;
  readonly port: number;
}

class TargetProcess extends FleetProcess implements FleetTarget {
  constructor(
    name: string,
    args: readonly string[],
    readonly service: string,
    readonly port: number,
    readonly replicationPort: number,
  ) {
    super(name, {script: 'dist/bulrushstage-standin.cjs', args});
  }
}

/** A proxy process and its ports. */
export class ProxyProcess extends FleetProcess {
  constructor(
    name: string,
    args: readonly string[],
    readonly port: number,
    readonly announcementsPort: number,
    readonly statusPort: number,
  ) {
    super(name, {script: 'dist/bulrushstage-proxy.cjs', args});
  }
}

/** A control process with its port and data folder. */
export class ControlProcess extends FleetProcess {
  constructor(
    name: string,
    args: readonly string[],
    readonly port: number,
    readonly data: string,
  ) {
    super(name, {script: 'dist/bulrushstage-control.cjs', args});
  }
}

/** A deployment of separate processes on loopback. */
export class Fleet {
  readonly controls: ControlProcess[] = [];
  readonly proxies: ProxyProcess[] = [];
  readonly targets: TargetProcess[] = [];
  private constructor(
    readonly folder: string,
    readonly settingsFile: string,
    readonly settingsText: string,
    private readonly plan: FleetPlan,
    private readonly portBlock: PortBlock,
  ) {}

  /** Creates a fleet's settings and processes without starting them. */
  static async prepare(plan: FleetPlan): Promise<Fleet> {
    const folder = mkdtempSync(join(tmpdir(), 'bulrushstage-'));
    const targetCount = plan.services.length * plan.members;
    const portBlock = await PortBlock.claim();
    const ports = await portBlock.take(
      plan.controls + plan.proxies * 3 + targetCount * 2,
    );
    const next = () => ports.pop()!;
    const controlPorts = Array.from({length: plan.controls}, next);
    const text = renderSettings(plan, controlPorts);
    const file = join(folder, 'settings.ini');
    writeFileSync(file, text);
    const fleet = new Fleet(folder, file, text, plan, portBlock);
    controlPorts.forEach((port, index) =>
      fleet.addControl(`c${index + 1}`, port),
    );
    for (let index = 0; index < plan.proxies; index++) {
      fleet.addProxy(`p${index + 1}`, index, [next(), next(), next()]);
    }
    for (const service of plan.services) {
      for (let index = 0; index < plan.members; index++) {
        fleet.addTarget(service, index, next(), next());
      }
    }
    return fleet;
  }

  /** Creates and starts a fleet, then waits until it is ready. */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = await Fleet.prepare(plan);
    fleet.startAll();
    try {
      await fleet.waitUntilReady();
    } catch (error) {
      const report = fleet.describeProcesses();
      await fleet.stop().catch(() => {});
      throw new Error(`${(error as Error).message}\n${report}`, {cause: error});
    }
    return fleet;
  }

  startAll(): void {
    this.controls.forEach((control, index) => {
      control.start(index === 0 ? ['--bootstrap'] : []);
    });
    for (const proxy of this.proxies) proxy.start();
    if (this.plan.startTargets === false) return;
    for (const target of this.targets) target.start();
  }

  /** Waits until every proxy knows a primary for every service. */
  async waitUntilReady(): Promise<void> {
    for (const {statusPort} of this.proxies) {
      await waitUntil(async () => {
        const status = (await fetchJson(statusPort, '/status')) as ProxyStatus;
        return status.services.every(({primary}) => primary !== '');
      }, 'a primary at every proxy');
    }
  }

  /** Returns a service's primary and term as a proxy reports them. */
  async primaryOf(
    service: string,
    proxy = this.proxies[0]!,
  ): Promise<{primary: string; term: number}> {
    const page = (await fetchJson(proxy.statusPort, '/status')) as ProxyStatus;
    return page.services.find(({name}) => name === service)!;
  }

  target(name: string): TargetProcess {
    return this.targets.find(target => target.name === name)!;
  }

  get processes(): readonly FleetProcess[] {
    return [...this.controls, ...this.proxies, ...this.targets];
  }

  /** Describes what the processes printed and how they ended. */
  describeProcesses(): string {
    return describeProcesses(this.processes);
  }

  /**
   * Kills all processes and removes the fleet's files; throws if a process had
   * ended by itself.
   */
  async stop(): Promise<void> {
    try {
      await killAll(this.processes);
    } finally {
      rmSync(this.folder, {recursive: true, force: true});
      await this.portBlock.release();
    }
  }

  private addControl(name: string, port: number): void {
    const data = join(this.folder, name);
    mkdirSync(data);
    const args = ['--settings', this.settingsFile, '--instance', name];
    const control = new ControlProcess(
      name,
      [...args, '--data', data],
      port,
      data,
    );
    this.controls.push(control);
  }

  private addProxy(name: string, index: number, ports: number[]): void {
    const [port = 0, announcements = 0, status = 0] = ports;
    const overlay = join(this.folder, `${name}.ini`);
    writeFileSync(overlay, `[proxy]\nsite = ${this.siteAt(index)}\n`);
    const args = [
      '--settings',
      this.settingsFile,
      '--overlay',
      overlay,
      '--instance',
      name,
      '--listen',
      loopbackAddress(port),
      '--announcements',
      loopbackAddress(announcements),
      '--status',
      loopbackAddress(status),
    ];
    const proxy = new ProxyProcess(name, args, port, announcements, status);
    this.proxies.push(proxy);
  }

  private addTarget(
    service: string,
    index: number,
    port: number,
    replicationPort: number,
  ): void {
    const name = `${service}-${index + 1}`;
    const observers = [
      ...this.controls.map(control => loopbackAddress(control.port)),
      ...this.proxies.map(proxy => loopbackAddress(proxy.announcementsPort)),
    ].map(address => this.plan.mapObserver?.(address, name) ?? address);
    const args = [
      '--service',
      service,
      '--instance',
      name,
      '--site',
      this.siteAt(index),
      '--listen',
      loopbackAddress(port),
      '--replication',
      loopbackAddress(replicationPort),
      '--announce',
      observers.join(','),
      ...(this.plan.standin ?? []),
    ];
    const target = new TargetProcess(
      name,
      args,
      service,
      port,
      replicationPort,
    );
    this.targets.push(target);
  }

  private siteAt(index: number): string {
    const sites = this.plan.sites ?? ['site-a', 'site-b', 'site-c'];
    return sites[index % sites.length]!;
  }
}

interface ProxyStatus {
  readonly services: {name: string; primary: string; term: number}[];
  readonly outcomes: Record<string, number>;
}

function renderSettings(plan: FleetPlan, controlPorts: number[]): string {
  const control = controlPorts.map(
    (port, index) => `c${index + 1}=${loopbackAddress(port)}`,
  );
  const lines = ['[system]', `control = ${control.join(', ')}`];
  lines.push(...renderEntries(plan.system));
  for (const service of plan.services) {
    lines.push(`[service.${service}]`, `members = ${plan.members}`);
    lines.push(...renderEntries({proxies: plan.proxies, ...plan.service}));
  }
  lines.push(plan.classes ?? DEFAULT_CLASSES);
  return `${lines.join('\n')}\n`;
}

const DEFAULT_CLASSES = `[class.review]
age_ms = 2000
older_with_notice = true
[class.filing]
age_ms = 0
priority = 1
`;

function renderEntries(values: FleetPlan['system'] = {}): string[] {
  return Object.entries(values).map(([key, value]) => `${key} = ${value}`);
}

function loopbackAddress(port: number): string {
  return `127.0.0.1:${port}`;
}

/** Polls until a condition holds; an error counts as false. */
export async function waitUntil(
  condition: () => Promise<boolean> | boolean,
  goal: string,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const endAt = Date.now() + timeoutMs;
  for (;;) {
    try {
      if (await condition()) return;
    } catch {
      // Retried until the timeout.
    }
    if (Date.now() > endAt) throw new Error(`timed out waiting for ${goal}`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Fetches a JSON page from a proxy's status port. */
export async function fetchJson(port: number, path: string): Promise<unknown> {
  const response = await fetch(`http://127.0.0.1:${port}${path}`);
  return response.json();
}

/** Returns whether a loopback port accepts connections. */
export function isListening(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = createConnection(port, '127.0.0.1');
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

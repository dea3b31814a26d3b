import {spawn, type ChildProcess} from 'node:child_process';
import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createConnection} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {freePorts} from './ports';

const READY_MS = 15_000;
const POLL_MS = 25;
const MOST_LOG_BYTES = 200_000;

/** What a fleet is made of. */
export interface FleetPlan {
  readonly controls: number;
  readonly proxies: number;
  readonly services: readonly string[];
  readonly members: number;
  /** Lines for [system], [service.*], [class.*] and so on. */
  readonly system?: Readonly<Record<string, string | number>>;
  readonly service?: Readonly<Record<string, string | number>>;
  /** Text of class sections. */
  readonly classes?: string;
  /** Arguments that every stand-in gets. */
  readonly standin?: readonly string[];
  /** Sites in turn for members and proxies. */
  readonly sites?: readonly string[];
  /** Leaves out target processes: the test brings its own. */
  readonly startTargets?: boolean;
  /** Addresses that targets are told instead, by observer's address. */
  readonly reroute?: (address: string, target: string) => string;
}

/** One process of a fleet. */
export class FleetProcess {
  private child: ChildProcess | undefined;
  private output = '';

  constructor(
    readonly name: string,
    private readonly program: string,
    private args: readonly string[],
  ) {}

  /** Changes arguments before the process is started. */
  rewrite(change: (argument: string) => string): void {
    this.args = this.args.map(change);
  }

  get log(): string {
    return this.output;
  }

  /** The id of the process; throws while it does not run. */
  get processId(): number {
    const id = this.child?.pid;
    if (id === undefined) throw new Error(`${this.name} does not run`);
    return id;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  start(extra: readonly string[] = []): void {
    const script = join('dist', `${this.program}.cjs`);
    const child = spawn(process.execPath, [script, ...this.args, ...extra], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const take = (chunk: Buffer) => {
      this.output = (this.output + chunk.toString()).slice(-MOST_LOG_BYTES);
    };
    child.stdout.on('data', take);
    child.stderr.on('data', take);
    child.on('exit', () => {
      if (this.child === child) this.child = undefined;
    });
    this.child = child;
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Ends the process and waits until it is gone; its exit code. */
  async end(name: NodeJS.Signals = 'SIGKILL'): Promise<number | null> {
    const {child} = this;
    if (!child) return null;
    const exited = new Promise<number | null>(resolve => {
      child.once('exit', code => resolve(code));
    });
    child.kill(name);
    if (name !== 'SIGKILL') child.kill('SIGCONT');
    return exited;
  }

  /** The exit code, once the process ends by itself. */
  async exited(): Promise<number | null> {
    const {child} = this;
    if (!child) return null;
    return new Promise(resolve => child.once('exit', code => resolve(code)));
  }
}

/** A member of a group, with where it is reached. */
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
    super(name, 'bulrushstage-standin', args);
  }
}

/** A proxy, with where it is reached. */
export class ProxyProcess extends FleetProcess {
  constructor(
    name: string,
    args: readonly string[],
    readonly port: number,
    readonly announcementsPort: number,
    readonly statusPort: number,
  ) {
    super(name, 'bulrushstage-proxy', args);
  }
}

/** A control instance, with where it is reached. */
export class ControlProcess extends FleetProcess {
  constructor(
    name: string,
    args: readonly string[],
    readonly port: number,
    readonly data: string,
  ) {
    super(name, 'bulrushstage-control', args);
  }
}

/** Separate processes on loopback, all ended by id in the end. */
export class Fleet {
  readonly controls: ControlProcess[] = [];
  readonly proxies: ProxyProcess[] = [];
  readonly targets: TargetProcess[] = [];
  private constructor(
    readonly folder: string,
    readonly settingsFile: string,
    readonly settingsText: string,
    private readonly plan: FleetPlan,
  ) {}

  /** Lays out a fleet without starting it. */
  static async prepare(plan: FleetPlan): Promise<Fleet> {
    const folder = mkdtempSync(join(tmpdir(), 'bulrushstage-'));
    const targetCount = plan.services.length * plan.members;
    const ports = await freePorts(
      plan.controls + plan.proxies * 3 + targetCount * 2,
    );
    const next = () => ports.pop()!;
    const controlPorts = Array.from({length: plan.controls}, next);
    const text = settingsText(plan, controlPorts);
    const file = join(folder, 'settings.ini');
    writeFileSync(file, text);
    const fleet = new Fleet(folder, file, text, plan);
    controlPorts.forEach((port, at) => fleet.addControl(`c${at + 1}`, port));
    for (let at = 0; at < plan.proxies; at++) {
      fleet.addProxy(`p${at + 1}`, at, [next(), next(), next()]);
    }
    for (const service of plan.services) {
      for (let at = 0; at < plan.members; at++) {
        fleet.addTarget(service, at, next(), next());
      }
    }
    return fleet;
  }

  /** Lays out a fleet, starts it and waits until it serves. */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = await Fleet.prepare(plan);
    fleet.startAll();
    await fleet.ready();
    return fleet;
  }

  startAll(): void {
    this.controls.forEach((control, at) => {
      control.start(at === 0 ? ['--bootstrap'] : []);
    });
    for (const proxy of this.proxies) proxy.start();
    if (this.plan.startTargets === false) return;
    for (const target of this.targets) target.start();
  }

  /** Waits until every proxy serves a read of the primary. */
  async ready(): Promise<void> {
    for (const {statusPort} of this.proxies) {
      await until(async () => {
        const status = (await fetchJson(statusPort, '/status')) as ProxyPage;
        return status.services.every(({primary}) => primary !== '');
      }, 'a primary at every proxy');
    }
  }

  /** The names of a service's primary and term, as a proxy knows them. */
  async primaryOf(
    service: string,
    proxy = this.proxies[0]!,
  ): Promise<{primary: string; term: number}> {
    const page = (await fetchJson(proxy.statusPort, '/status')) as ProxyPage;
    return page.services.find(({name}) => name === service)!;
  }

  target(name: string): TargetProcess {
    return this.targets.find(target => target.name === name)!;
  }

  get processes(): readonly FleetProcess[] {
    return [...this.controls, ...this.proxies, ...this.targets];
  }

  /** Ends every process and removes every file. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map(process => process.end()));
    rmSync(this.folder, {recursive: true, force: true});
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

  private addProxy(name: string, at: number, ports: number[]): void {
    const [port = 0, announcements = 0, status = 0] = ports;
    const overlay = join(this.folder, `${name}.ini`);
    writeFileSync(overlay, `[proxy]\nsite = ${this.siteAt(at)}\n`);
    const args = [
      '--settings',
      this.settingsFile,
      '--overlay',
      overlay,
      '--instance',
      name,
      '--listen',
      local(port),
      '--announcements',
      local(announcements),
      '--status',
      local(status),
    ];
    const proxy = new ProxyProcess(name, args, port, announcements, status);
    this.proxies.push(proxy);
  }

  private addTarget(
    service: string,
    at: number,
    port: number,
    replicationPort: number,
  ): void {
    const name = `${service}-${at + 1}`;
    const observers = [
      ...this.controls.map(control => local(control.port)),
      ...this.proxies.map(proxy => local(proxy.announcementsPort)),
    ].map(address => this.plan.reroute?.(address, name) ?? address);
    const args = [
      '--service',
      service,
      '--instance',
      name,
      '--site',
      this.siteAt(at),
      '--listen',
      local(port),
      '--replication',
      local(replicationPort),
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

  private siteAt(at: number): string {
    const sites = this.plan.sites ?? ['site-a', 'site-b', 'site-c'];
    return sites[at % sites.length]!;
  }
}

interface ProxyPage {
  readonly services: {name: string; primary: string; term: number}[];
  readonly outcomes: Record<string, number>;
}

function settingsText(plan: FleetPlan, controlPorts: number[]): string {
  const control = controlPorts.map((port, at) => `c${at + 1}=${local(port)}`);
  const lines = ['[system]', `control = ${control.join(', ')}`];
  lines.push(...pairs(plan.system));
  for (const service of plan.services) {
    lines.push(`[service.${service}]`, `members = ${plan.members}`);
    lines.push(...pairs({proxies: plan.proxies, ...plan.service}));
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

function pairs(values: FleetPlan['system'] = {}): string[] {
  return Object.entries(values).map(([key, value]) => `${key} = ${value}`);
}

function local(port: number): string {
  return `127.0.0.1:${port}`;
}

/** Waits until a condition holds; errors count as not yet. */
export async function until(
  condition: () => Promise<boolean> | boolean,
  what: string,
  mostMs = READY_MS,
): Promise<void> {
  const end = Date.now() + mostMs;
  for (;;) {
    try {
      if (await condition()) return;
    } catch {
      // Not yet there: asked again until the time is over.
    }
    if (Date.now() > end) throw new Error(`waited in vain for ${what}`);
    await sleep(POLL_MS);
  }
}

/** A page of a proxy's status endpoint. */
export async function fetchJson(port: number, path: string): Promise<unknown> {
  const response = await fetch(`http://127.0.0.1:${port}${path}`);
  return response.json();
}

/** Whether something listens on a port of loopback. */
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

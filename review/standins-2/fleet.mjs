// Starts the project's programs with the commands of the deploy file, on
// loopback addresses, with settings like those of a small deployment.
import {spawn} from 'node:child_process';
import {
  mkdtempSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Bounds of the site file of dla-annuals. */
export const BOUNDS = {
  contactMs: 5_000,
  ackMs: 6_000,
  drainMs: 7_000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 4_000,
  recoverS: 12,
};

const CONTROL_IPS = ['127.0.71.1', '127.0.71.2', '127.0.71.3'];
const PROXY_IPS = ['127.0.71.11', '127.0.71.12', '127.0.71.13'];
const ZONES = ['hobart-a', 'lton-b', 'burnie-c'];
const REGIONS = ['hobart', 'launceston', 'burnie'];

/** Below the ports that outgoing connections use. */
const FIRST_PORT = 21_000;
const PORT_RANGE = 9_000;

async function isFree(port) {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '0.0.0.0', () => server.close(() => resolve(true)));
  });
}

export async function takePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_RANGE);
    if (!ports.includes(port) && (await isFree(port))) ports.push(port);
  }
  return ports;
}

/** The words of a role's command in the deploy file. */
function commandOf(role) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('[roles.')[0];
  const words = /run = "([^"]*)"/.exec(section)[1].split(' ');
  return [process.execPath, ...words.slice(1)];
}

/** Fills in the template of the settings, as the deploy page tells it. */
function render(values) {
  const template = readFileSync('deploy/instance.ini', 'utf8');
  const zones = ZONES.map((zone, at) => `${zone} = ${REGIONS[at]}`).join('\n');
  return template
    .replace(/\{\{#zones\}\}[^]*\{\{\/zones\}\}/, `${zones}\n`)
    .replace(/\{\{([^}]*)\}\}/g, (match, name) => String(values[name] ?? ''));
}

export class Fleet {
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  processes = new Map();
  /** Ends of processes that this test did not signal. */
  ends = [];
  logs = '';

  /** @param platform Address of the platform's promotions. */
  constructor(note, platform, proxyCount = 2) {
    this.note = note;
    this.platform = platform;
    this.controls = CONTROL_IPS;
    this.proxies = PROXY_IPS.slice(0, proxyCount);
  }

  async start() {
    const [internal, operators, callers, ready] = await takePorts(4);
    this.ports = {internal, operators, callers, ready};
    for (const ip of this.controls) this.startProcess('control', ip, true);
    for (const ip of this.proxies) this.startProcess('proxy', ip, true);
  }

  startProcess(role, ip, isBootstrap) {
    const isControl = role === 'control';
    const at = isControl ? this.controls.indexOf(ip) : this.proxies.indexOf(ip);
    const {internal, operators, callers, ready} = this.ports;
    const data = join(this.folder, `data-${ip}`);
    if (isControl) mkdirSync(data, {recursive: true});
    const file = join(this.folder, `${ip}.ini`);
    const seeds = this.controls.map(seed => `${seed}:${operators}`).join(',');
    const settings = {
      'node-name': `${role}-${at + 1}`,
      zone: ZONES[at],
      region: REGIONS[at],
      ip,
      'port-range.0': internal,
      'listen.frontend': isControl ? '' : `${ip}:${callers}`,
      'listen.readiness': isControl ? '' : `${ip}:${ready}`,
      'listen.control': isControl ? `${ip}:${operators}` : '',
      'data-dir': isControl ? data : '',
      seeds,
      bootstrap: isBootstrap,
      'fault-tolerance.machines': 1,
      'bounds.catch-up-s': 4,
      'bounds.grace-s': BOUNDS.graceS,
      'cloud-api.addr': this.platform,
      'bounds.fencing': true,
      'limits.cpu-quota': 0.675,
      'limits.link-mbps': 1000,
    };
    writeFileSync(file, render(settings));
    const [program, ...words] = commandOf(role);
    const child = spawn(program, words, {
      env: {PATH: process.env.PATH, BULRUSHSTAGE_SETTINGS: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const entry = {role, ip, child, isSignalled: false, startCount: 0};
    const previous = this.processes.get(ip);
    entry.startCount = (previous?.startCount ?? 0) + 1;
    this.processes.set(ip, entry);
    const collect = chunk => {
      this.logs = (this.logs + String(chunk)).slice(-400_000);
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.on('exit', (code, signal) => this.onExit(entry, code ?? signal));
    return entry;
  }

  /** Like the platform: what ended by itself starts again after a moment. */
  onExit(entry, cause) {
    entry.hasEnded = true;
    if (entry.isSignalled || this.isStopping) return;
    this.ends.push({ip: entry.ip, cause});
    this.note(`${entry.role} ${entry.ip} ended by itself: ${cause}`);
    setTimeout(() => {
      if (!this.isStopping) this.startProcess(entry.role, entry.ip, false);
    }, 300);
  }

  signal(ip, name) {
    const entry = this.processes.get(ip);
    if (name === 'SIGKILL' || name === 'SIGTERM') entry.isSignalled = true;
    entry.child.kill(name);
    return entry;
  }

  async stop() {
    this.isStopping = true;
    for (const {child, hasEnded} of this.processes.values()) {
      if (!hasEnded) child.kill('SIGKILL');
    }
    await sleep(200);
    rmSync(this.folder, {recursive: true, force: true});
  }

  async http(ip, port, method, path, body, timeoutMs = 1_000) {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const url = `http://${ip}:${port}${path}`;
      const headers = {'content-type': 'application/json'};
      const options = body === undefined ? {} : {body, headers};
      const response = await fetch(url, {method, signal, ...options});
      return {status: response.status, text: await response.text()};
    } catch {
      return {status: 0, text: ''};
    }
  }

  /** One call of the operator or of a member: node after node. */
  async callControl(method, path, body, untilMs = 8_000) {
    const deadline = Date.now() + untilMs;
    const statuses = [];
    for (let at = 0; Date.now() < deadline; at++) {
      const ip = this.controls[at % this.controls.length];
      const {operators} = this.ports;
      const reply = await this.http(ip, operators, method, path, body);
      statuses.push(reply.status);
      const isClear = reply.status >= 200 && reply.status < 500;
      if (isClear && reply.status !== 408 && reply.status !== 429) {
        return {...reply, statuses};
      }
      await sleep(Math.min(1_000, 50 * 2 ** Math.floor(at / 3)));
    }
    return {status: 0, text: '', statuses};
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const deadline = Date.now() + timeoutMs;
    for (const ip of this.proxies) {
      for (;;) {
        const {status} = await this.http(
          ip,
          this.ports.ready,
          'GET',
          '/readyz',
        );
        if (status === 200) break;
        if (Date.now() > deadline) return false;
        await sleep(100);
      }
    }
    return true;
  }
}

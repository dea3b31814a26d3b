// Starts the project's own programs as the deploy file says, each on a loopback
// address of its own, and plays the platform around them.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, mkdtempSync, readFileSync} from 'node:fs';
import {rmSync, writeFileSync} from 'node:fs';
import {createServer as createHttpServer} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {call, callNode} from './http.mjs';
import {renderTemplate} from './template.mjs';

/** The platform restarts a process that ended after this time. */
const RESTART_MS = 300;
const FIRST_PORT = 20_000;
const LAST_PORT = 31_000;
const ZONES = {
  'zone-a': 'region-a',
  'zone-b': 'region-b',
  'zone-c': 'region-c',
};

/** The bounds of the users' first deployment. */
export const BOUNDS = {
  'seed-lag-s': 3,
  'contact-ms': 5_000,
  'catch-up-s': 4,
  'drain-ms': 7_000,
  'grace-s': 6,
  'config-apply-ms': 4_000,
  'recover-s': 12,
  fencing: true,
};

/** Three control instances and some proxies. */
export class Fleet {
  nodes = [];
  /** Ends of processes that nobody asked for. */
  ownEnds = [];
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  isStopping = false;

  constructor(record, proxyCount = 2) {
    this.record = record;
    // Ends the programs whatever ends the script.
    process.once('exit', () => this.killNodes());
    const zones = Object.keys(ZONES);
    for (const [index, zone] of zones.entries()) {
      this.addNode('control', `127.0.0.${11 + index}`, zone);
    }
    for (let index = 0; index < proxyCount; index++) {
      this.addNode('proxy', `127.0.0.${21 + index}`, zones[index % 3]);
    }
  }

  addNode(role, ip, zone) {
    this.nodes.push({role, ip, zone, name: `${role}-${ip.split('.')[3]}`});
  }

  /** The addresses of control for operators and members. */
  get seeds() {
    const controls = this.nodes.filter(({role}) => role === 'control');
    return controls.map(({ip}) => `${ip}:${this.ports.control}`);
  }

  get proxies() {
    const proxies = this.nodes.filter(({role}) => role === 'proxy');
    return proxies.map(({ip}) => `${ip}:${this.ports.frontend}`);
  }

  /** Starts all programs; `promote` handles the platform's call. */
  async start(promote) {
    this.template = readFileSync('deploy/instance.ini', 'utf8');
    const deploy = readFileSync('deploy/system.toml', 'utf8');
    const runs = [...deploy.matchAll(/\[roles\.(\w+)\]\s+run = "(.*)"/g)];
    this.commands = new Map(runs.map(([, role, run]) => [role, run]));
    const [first, control, frontend, readiness, platform, ...free] =
      await takePorts(30);
    this.ports = {first, control, frontend, readiness, platform};
    this.freePorts = free;
    await this.servePlatform(promote);
    for (const node of this.nodes) this.startNode(node, true);
  }

  /** A loopback address that no program uses. */
  takeAddress() {
    return `127.0.0.31:${this.freePorts.shift()}`;
  }

  async servePlatform(promote) {
    this.platform = createHttpServer((incoming, response) => {
      let body = '';
      incoming.on('data', part => (body += part));
      incoming.on('end', () => {
        const {service, id} = JSON.parse(body);
        const token = Number(incoming.headers['fencing-token']);
        const holder = incoming.headers['lease-holder'];
        response.writeHead(promote(service, id, token, holder)).end('{}');
      });
    });
    this.platform.listen(this.ports.platform, '127.0.0.32');
    await once(this.platform, 'listening');
  }

  startNode(node, bootstrap = false) {
    const settings = join(this.folder, `${node.name}.ini`);
    const fields = this.fieldsOf(node, bootstrap);
    writeFileSync(settings, renderTemplate(this.template, fields));
    const [program, ...words] = this.commands.get(node.role).split(' ');
    const {PATH, HOME} = process.env;
    const env = {PATH, HOME, BULRUSHSTAGE_SETTINGS: settings};
    const child = spawn(program, words, {env});
    const output = createWriteStream(join(this.folder, `${node.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(output, {end: false});
    child.stderr.on('data', bytes => {
      output.write(bytes);
      this.recordError(node, String(bytes));
    });
    node.child = child;
    node.exited = once(child, 'exit').then(([code, signal]) => {
      if (node.isKilled || this.isStopping) return;
      this.ownEnds.push(node.name);
      this.record(`${node.name} ended by itself: ${code ?? signal}`);
      setTimeout(() => this.restart(node), RESTART_MS);
    });
  }

  /** Records the kind of an error that ended a program, without its paths. */
  recordError(node, text) {
    const [error] = /^\w*Error: .*$/m.exec(text) ?? [];
    if (error) this.record(`${node.name} printed: ${error}`);
  }

  restart(node) {
    if (this.isStopping) return;
    node.isKilled = false;
    this.startNode(node);
  }

  /** Kills all programs at once and starts them again. */
  async killAll(downMs) {
    for (const node of this.nodes) {
      node.isKilled = true;
      node.child.kill('SIGKILL');
    }
    await Promise.all(this.nodes.map(({exited}) => exited));
    this.record('platform: all processes were killed');
    await sleep(downMs);
    for (const node of this.nodes) this.restart(node);
    this.record('platform: all processes are started again');
  }

  /** Sends a configuration until an answer is clear; returns its status. */
  async submit(text, maxTries = 40) {
    for (let attempt = 0; attempt < maxTries; attempt++) {
      const address = this.seeds[attempt % this.seeds.length];
      const reply = await callNode(address, 'PUT', '/config', text);
      const status = reply?.status ?? 0;
      this.record(
        `operator: PUT /config to ${address}: ${status || 'no answer'}`,
      );
      if (status !== 0 && status < 500) return status;
      await sleep(Math.min(1_000, 100 * 2 ** attempt));
    }
    return 0;
  }

  /** Waits until all proxies are ready; false if they are not in time. */
  async waitUntilReady(timeoutMs = 15_000) {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const checks = this.nodes
        .filter(({role}) => role === 'proxy')
        .map(({ip}) => call(`${ip}:${this.ports.readiness}`, 'GET', '/readyz'));
      const replies = await Promise.all(checks);
      if (replies.every(reply => reply?.status === 200)) return true;
      await sleep(200);
    }
    return false;
  }

  /** Ends all that it started. */
  async stop() {
    this.isStopping = true;
    this.killNodes();
    await Promise.all(this.nodes.map(({exited}) => exited));
    this.platform?.close();
    this.platform?.closeAllConnections();
    rmSync(this.folder, {recursive: true, force: true});
  }

  killNodes() {
    for (const {child} of this.nodes) child?.kill('SIGKILL');
  }

  fieldsOf({role, ip, zone, name}, bootstrap) {
    const {first, control, frontend, readiness, platform} = this.ports;
    const isControl = role === 'control';
    return {
      'node-name': name,
      zone,
      region: ZONES[zone],
      ip,
      'port-range': [first, first],
      seeds: this.seeds.join(','),
      bootstrap,
      zones: ZONES,
      listen: isControl
        ? {control: `${ip}:${control}`}
        : {frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}`},
      'data-dir': isControl ? join(this.folder, `${name}.data`) : undefined,
      limits: {'cpu-quota': 0.675, 'link-mbps': 1_000},
      'fault-tolerance': {machines: 1},
      bounds: BOUNDS,
      'cloud-api': {addr: `127.0.0.32:${platform}`},
    };
  }
}

/** Ports that are free at all loopback addresses. */
async function takePorts(count) {
  const ports = [];
  const span = LAST_PORT - FIRST_PORT;
  let port = FIRST_PORT + Math.floor(Math.random() * span);
  while (ports.length < count) {
    port = port >= LAST_PORT ? FIRST_PORT : port + 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port) {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen({port, host: '0.0.0.0', exclusive: true}, () => {
      server.close(() => resolve(true));
    });
  });
}

export function sleep(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

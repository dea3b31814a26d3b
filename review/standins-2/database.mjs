// A database service of the platform: members that replicate, and promotions.
import {createServer as createHttpServer} from 'node:http';
import {createServer} from 'node:net';
import {sleep, takePorts} from './fleet.mjs';

const PROMOTE_MS = 1_000;
const HEARTBEAT_MS = 1_200;

/** One member: speaks the wire, holds a log, sends heartbeats. */
class Member {
  log = [];
  term = 1;
  isPrimary = false;
  heldTerm = 0;
  state = 'ready';
  sequence = 0;
  sockets = new Set();
  isGone = false;

  constructor(service, id, zone) {
    this.service = service;
    this.id = id;
    this.zone = zone;
  }

  get position() {
    return `${this.term}.${this.log.length + 1}`;
  }

  async listen(ip, port) {
    this.ip = ip;
    this.port = port;
    this.server = createServer(socket => this.serve(socket));
    await new Promise(resolve => this.server.listen(port, ip, resolve));
  }

  close() {
    this.isGone = true;
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Silent from now on, like a machine without power. */
  goDark() {
    this.isGone = true;
    this.isDark = true;
  }

  serve(socket) {
    this.sockets.add(socket);
    const session = {
      transaction: undefined,
      hasFailed: false,
      names: new Map(),
    };
    let text = '';
    let last = Promise.resolve();
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', bytes => {
      const lines = (text + bytes.toString('latin1')).split('\r\n');
      text = lines.pop();
      for (const line of lines) {
        last = last.then(() => this.onLine(socket, session, line));
      }
    });
  }

  async onLine(socket, session, line) {
    if (socket.destroyed || this.isDark) return;
    const words = line.split(' ');
    if (words[0] === 'STARTUP') {
      const isOther = words[1] !== this.service.name;
      if (isOther || (words[3] !== undefined && words[3] !== this.id)) {
        socket.end(`ERROR MOVED ${this.id}\r\n`);
        return;
      }
      await sleep(12);
      socket.write(`READY I ${this.position}\r\n`);
      return;
    }
    if (words[0] === 'QUIT') return socket.end();
    const requestId = words[1];
    const text = line.slice(line.indexOf(' ', 6) + 1);
    const reply = await this.run(session, requestId, text);
    const state = session.transaction ? (session.hasFailed ? 'E' : 'T') : 'I';
    if (socket.destroyed || this.isDark) return;
    socket.write(`${reply}READY ${state} ${this.position}\r\n`, 'latin1');
  }

  async run(session, requestId, text) {
    const words = text.split(' ');
    if (words[0] === 'AFTER') {
      const [term, number] = words[1].split('.').map(Number);
      const lacks = term > this.term || number > this.log.length + 1;
      if (lacks) return 'ERROR LAGGING -\r\n';
      return this.run(session, requestId, words.slice(2).join(' '));
    }
    switch (words[0]) {
      case 'BEGIN': {
        const isReadOnly = words[1] === 'FETCH';
        if (!isReadOnly && !this.isPrimary) return this.notPrimary();
        session.transaction = {isReadOnly, writes: []};
        session.hasFailed = false;
        return 'DONE -\r\n';
      }
      case 'ROLLBACK':
        session.transaction = undefined;
        return 'DONE -\r\n';
      case 'COMMIT': {
        const {writes} = session.transaction;
        session.transaction = undefined;
        if (writes.length > 0) return this.commit(requestId, writes);
        return this.done(requestId);
      }
      case 'FETCH':
        await sleep(5);
        this.service.ran.push({id: requestId, member: this.id, text});
        return this.rowsOf(words[1]) + this.done(requestId);
      case 'STORE': {
        if (!this.isPrimary) {
          if (session.transaction) session.hasFailed = true;
          return this.notPrimary();
        }
        await sleep(5);
        this.service.ran.push({id: requestId, member: this.id, text});
        const write = {id: requestId, item: words[1], data: words[2]};
        if (!session.transaction) return this.commit(requestId, [write]);
        session.transaction.writes.push(write);
        return this.done(requestId);
      }
      case 'PAUSE':
        if (!this.isPrimary) this.heldTerm = Number(words[1]);
        return this.status();
      case 'RESUME':
        this.heldTerm = 0;
        return this.status();
      case 'STEPDOWN':
        if (this.isPrimary && Number(words[1]) > this.term) {
          this.isPrimary = false;
        }
        return this.status();
      case 'STATUS':
        return this.status();
      default:
        return 'DONE -\r\n';
    }
  }

  rowsOf(item) {
    const found = this.log.findLast(entry => entry.item === item);
    return `ROW ${found?.data ?? 'none'}\r\n`;
  }

  done(requestId) {
    return `DONE sig.${this.id}.${requestId}\r\n`;
  }

  notPrimary() {
    return `ERROR READONLY ${this.service.primary?.id ?? '-'}\r\n`;
  }

  status() {
    const role = this.isPrimary ? 'primary' : 'replica';
    const fields = [role, this.term, this.position, this.heldTerm, 0, 0, 1];
    return `ROW ${fields.join(' ')}\r\nDONE -\r\n`;
  }

  /** Acknowledged once a replica has received it. */
  async commit(requestId, writes) {
    if (!this.isPrimary) return this.notPrimary();
    const commit = {id: requestId, ...writes.at(-1), writes};
    this.log.push(commit);
    await sleep(2);
    const received = this.service.replicate(this);
    if (!received) return 'ERROR TIMEOUT -\r\n';
    return this.done(requestId);
  }

  /** A replica receives what the primary has. */
  receiveFrom(primary) {
    if (this.isGone || this.heldTerm > primary.term || this.isDeaf) {
      return false;
    }
    this.term = primary.term;
    this.log = primary.log.slice();
    return true;
  }

  heartbeat() {
    return JSON.stringify({
      service: this.service.name,
      addr: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 2,
      state: this.state,
      'warmup-left-ms': 0,
      'db-role': this.isPrimary ? 'primary' : 'replica',
      seq: ++this.sequence,
    });
  }
}

const ZONES = ['hobart-a', 'lton-b', 'burnie-c'];

/** A service of three members, and the platform's `POST /promote`. */
export class Database {
  members = [];
  /** Statements of clients that members ran. */
  ran = [];
  promotions = [];
  highestToken = 0;

  constructor(name, note) {
    this.name = name;
    this.note = note;
    this.ids = 0;
  }

  get primary() {
    return this.members.find(({isPrimary, isGone}) => isPrimary && !isGone);
  }

  async start() {
    for (const zone of ZONES) await this.addMember(zone);
    this.members[0].isPrimary = true;
    const [port] = await takePorts(1);
    this.platform = createHttpServer((request, response) => {
      let body = '';
      request.on('data', part => (body += part));
      request.on('end', () => this.onPromote(request, body, response));
    });
    await new Promise(resolve => {
      this.platform.listen(port, '127.0.71.90', resolve);
    });
    this.platformAddress = `127.0.71.90:${port}`;
  }

  async addMember(zone) {
    const member = new Member(this, `i-${++this.ids}a${this.ids}`, zone);
    const [port] = await takePorts(1);
    await member.listen(`127.0.71.${100 + this.ids}`, port);
    this.members.push(member);
    return member;
  }

  /** A crashed member comes back at its address, with its log and a new id. */
  async bringBack(member) {
    const next = new Member(this, `i-${++this.ids}a${this.ids}`, member.zone);
    next.log = member.log.slice();
    next.term = member.term;
    await next.listen(member.ip, member.port);
    this.members = this.members.filter(other => other !== member);
    this.members.push(next);
    if (this.primary) next.receiveFrom(this.primary);
    return next;
  }

  /** Sends the members' heartbeats until the fleet stops. */
  announce(fleet) {
    this.timer = setInterval(() => this.beatAll(fleet), HEARTBEAT_MS);
    return this.beatAll(fleet);
  }

  async beatAll(fleet) {
    await Promise.all(this.members.map(member => this.beat(fleet, member)));
  }

  async beat(fleet, member) {
    if (member.isGone) return undefined;
    const path = `/instances/${member.id}`;
    const body = member.heartbeat();
    return fleet.callControl('PUT', path, body, 1_100);
  }

  replicate(primary) {
    const replicas = this.members.filter(member => member !== primary);
    return replicas.filter(member => member.receiveFrom(primary)).length > 0;
  }

  onPromote(request, body, response) {
    const {id} = JSON.parse(body);
    const token = Number(request.headers['fencing-token']);
    const member = this.members.find(other => other.id === id);
    this.promotions.push({id, token});
    this.note(`platform: promote ${id} with token ${token}`);
    if (token < this.highestToken || !member || member.isGone) {
      return response.writeHead(409).end();
    }
    this.highestToken = token;
    response.writeHead(200).end();
    if (member.isPrimary) return undefined;
    return setTimeout(() => this.lead(member), PROMOTE_MS);
  }

  lead(member) {
    if (member.isGone || member.isPrimary) return;
    const term = Math.max(...this.members.map(other => other.term)) + 1;
    for (const other of this.members) {
      other.isPrimary = false;
      other.heldTerm = 0;
    }
    member.term = term;
    member.isPrimary = true;
    this.note(`platform: ${member.id} leads term ${term}`);
    this.replicate(member);
  }

  stop() {
    clearInterval(this.timer);
    for (const member of this.members) {
      if (!member.isGone || member.isDark) member.close();
    }
    this.platform.closeAllConnections();
    this.platform.close();
  }
}

/** A configuration of the operator with one route of each kind. */
export function makeConfiguration(version, service, overrides = {}) {
  const route = (name, kind, more) => ({
    name: `r-${name}`,
    host: name,
    prefix: '/',
    kind,
    'timeout-ms': 800,
    'slo-ms': 600,
    priority: 1,
    service,
    attempts: 2,
    ...more,
  });
  return {
    version,
    routes: [
      route('lodge1', 'primary'),
      route('review1', 'bounded', {'max-staleness-ms': 1500}),
      route('reconcile1', 'session', {'max-staleness-ms': 2500}),
    ],
    services: [
      {
        name: service,
        'health-path': '/healthz',
        'max-conns': 16,
        proto: 'h1',
        tls: false,
        'sync-replicas': 1,
      },
    ],
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 262144,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
      'tx-idle-ms': 3000,
    },
    ...overrides,
  };
}

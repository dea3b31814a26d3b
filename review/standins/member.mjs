// A stand-in for one member: the platform's line protocol and heartbeats.
import {createServer} from 'node:net';
import {callControl} from './http.mjs';

const HEARTBEAT_MS = 1_200;
const MAX_CONNECTIONS = 16;
/** How long a statement works. */
const WORK_MS = 4;
const SUCCESS = 'DONE -';

/** One database of a group. */
export class Member {
  isUp = false;
  isPrimary = false;
  isDraining = false;
  /** Told by the system not to receive. */
  isPaused = false;
  /** Disrupted: it receives nothing. */
  isDeaf = false;
  log = [];
  appliedCount = 0;
  term = 1;
  heldTerm = 0;
  /** The addresses that serve control. */
  seeds = [];
  sequence = 0;
  sockets = new Set();

  constructor(group, id, address) {
    this.group = group;
    this.id = id;
    this.address = address;
  }

  /** The end of what it received. */
  get received() {
    return positionOf(this.log.at(-1));
  }

  /** The end of what it applied. */
  get applied() {
    return positionOf(this.log[this.appliedCount - 1]);
  }

  apply(count) {
    this.appliedCount = Math.min(this.log.length, count);
  }

  /** Starts to listen and to announce itself. */
  start(seeds) {
    this.seeds = seeds;
    this.isUp = true;
    const [host, port] = this.address.split(':');
    this.server = createServer(socket => this.serve(socket));
    const ready = new Promise(resolve => {
      this.server.listen(Number(port), host, resolve);
    });
    this.timer = setInterval(() => this.announce(), HEARTBEAT_MS);
    this.announce();
    this.group.synchronize(this);
    return ready;
  }

  /** Ends as in a crash: its connections are reset and nothing is said. */
  crash() {
    this.isUp = false;
    clearInterval(this.timer);
    for (const socket of this.sockets) socket.resetAndDestroy();
    return new Promise(resolve => this.server.close(resolve));
  }

  /** Sends a heartbeat; resolves to whether it was acknowledged. */
  async announce() {
    if (!this.isUp) return false;
    const body = {
      service: this.group.service,
      addr: this.address,
      zone: 'zone-a',
      version: 'v1',
      slots: 2,
      state: this.isDraining ? 'draining' : 'ready',
      'warmup-left-ms': 0,
      'db-role': this.isPrimary ? 'primary' : 'replica',
      seq: ++this.sequence,
    };
    const path = `/instances/${this.id}`;
    const reply = await callControl(this.targets, 'PUT', path, body);
    this.heartbeatAddress = reply?.json?.['heartbeat-addr'];
    return reply?.status === 200;
  }

  /** Says that it leaves until that is acknowledged. */
  async drain() {
    this.isDraining = true;
    while (!(await this.announce())) await sleep(200);
    this.group.record(`member ${this.id}: draining is acknowledged`);
  }

  /** Leaves for good after its drain, once its last heartbeat is answered. */
  async leave() {
    clearInterval(this.timer);
    await this.announce();
    const path = `/instances/${this.id}`;
    await callControl(this.targets, 'DELETE', path);
    this.group.record(`member ${this.id}: leaves at ${this.received}`);
    await this.crash();
    this.group.remove(this);
  }

  get targets() {
    const own = this.heartbeatAddress ? [this.heartbeatAddress] : [];
    return [...own, ...this.seeds];
  }

  serve(socket) {
    this.sockets.add(socket);
    const session = {isOpen: false, isReadOnly: false, writes: []};
    let queue = Promise.resolve();
    let rest = '';
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', bytes => {
      const lines = (rest + bytes.toString('latin1')).split('\r\n');
      rest = lines.pop();
      for (const line of lines) {
        queue = queue.then(() => this.onLine(socket, session, line));
      }
    });
  }

  async onLine(socket, session, line) {
    if (!this.isUp || socket.destroyed) return;
    if (line.startsWith('STARTUP ')) return this.onStartup(socket, line);
    const [, requestId, text] = /^QUERY (\S+) ([^]*)$/.exec(line) ?? [];
    if (text === undefined) return void socket.destroy();
    if (requestId !== '-') {
      this.group.record(`member ${this.id}: gets ${JSON.stringify(line)}`);
    }
    const answer = await this.run(session, requestId, text);
    if (!this.isUp || socket.destroyed) return;
    const state = session.hasFailed ? 'E' : session.isOpen ? 'T' : 'I';
    const ready = `READY ${state} ${this.applied}`;
    socket.write(`${answer}\r\n${ready}\r\n`, 'latin1');
  }

  onStartup(socket, line) {
    const [, service, , expected] = line.split(' ');
    const isOther = service !== this.group.service;
    if (isOther || (expected && expected !== this.id)) {
      return void socket.end(`ERROR MOVED ${this.id}\r\n`);
    }
    if (this.sockets.size > MAX_CONNECTIONS) {
      return void socket.end('ERROR TOOMANY -\r\n');
    }
    socket.write(`READY I ${this.applied}\r\n`);
  }

  /** Runs one statement; returns the lines of its answer but the last. */
  async run(session, requestId, text) {
    const prefix = /^AFTER (\d+)\.(\d+) /.exec(text);
    const statement = prefix ? text.slice(prefix[0].length) : text;
    const [word, first, ...more] = statement.split(' ');
    const signature = `DONE ${this.id}.${requestId}`;
    switch (word) {
      case 'BEGIN':
        if (prefix && !this.holds(prefix)) return 'ERROR LAGGING -';
        if (!first && !this.isPrimary) return 'ERROR READONLY -';
        Object.assign(session, {isOpen: true, isReadOnly: first === 'FETCH'});
        return SUCCESS;
      case 'FETCH': {
        if (prefix && !this.holds(prefix)) return 'ERROR LAGGING -';
        await sleep(WORK_MS);
        const row = this.find(first);
        return row === undefined ? signature : `ROW ${row}\r\n${signature}`;
      }
      case 'STORE': {
        if (!this.isPrimary || session.isReadOnly) return 'ERROR READONLY -';
        await sleep(WORK_MS);
        const entry = {requestId, item: first, data: more.join(' ')};
        if (!session.isOpen) return this.commit([entry], signature);
        session.writes.push(entry);
        return signature;
      }
      case 'COMMIT':
      case 'ROLLBACK': {
        const {writes} = session;
        Object.assign(session, {isOpen: false, isReadOnly: false, writes: []});
        if (word === 'ROLLBACK') return SUCCESS;
        return writes.length > 0 ? this.commit(writes, signature) : signature;
      }
      case 'STATUS':
      case 'PAUSE':
      case 'RESUME':
      case 'STEPDOWN':
        return this.control(word, Number(first));
      case 'SET':
      case 'RESET':
        return SUCCESS;
      default:
        return 'ERROR BADMSG -';
    }
  }

  commit(entries, signature) {
    if (!this.isPrimary) return 'ERROR READONLY -';
    return new Promise(resolve => {
      this.group.commit(this, entries, isDone => {
        resolve(isDone ? signature : 'ERROR TIMEOUT -');
      });
    });
  }

  control(word, term) {
    const {group} = this;
    // At a primary it changes nothing; all of these answer the same row.
    if (word === 'PAUSE' && !this.isPrimary && term > this.term) {
      this.isPaused = true;
      this.heldTerm = term;
    }
    if (word === 'STEPDOWN' && term > this.term) this.isPrimary = false;
    if (word === 'RESUME') {
      this.isPaused = false;
      group.synchronize(this);
    }
    if (word !== 'STATUS') group.record(`member ${this.id}: ${word}`);
    const role = this.isPrimary ? 'primary' : 'replica';
    const {term: known, received, heldTerm, sockets} = this;
    return `ROW ${role} ${known} ${received} ${heldTerm} 0 0 ${sockets.size}\r\n${SUCCESS}`;
  }

  /** Whether the applied log contains a position. */
  holds([, term, number]) {
    if (Number(number) === 0) return true;
    if (Number(number) > this.appliedCount) return false;
    return this.log[Number(number) - 1].term === Number(term);
  }

  find(item) {
    const applied = this.log.slice(0, this.appliedCount);
    const entries = applied.flatMap(commit => commit.entries);
    return entries.findLast(entry => entry.item === item)?.data;
  }
}

function positionOf(commit) {
  return commit ? `${commit.term}.${commit.number}` : '1.0';
}

function sleep(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

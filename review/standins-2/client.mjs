// Clients of the platform's wire.
import {connect} from 'node:net';

let lastId = 0;

export function nextId() {
  return (++lastId).toString(16).padStart(16, 'c0ffee0000000000');
}

/** One session; replies come as arrays of lines. */
export class Session {
  lines = [];
  waiting = [];
  isClosed = false;

  constructor(ip, port) {
    this.socket = connect(port, ip);
    this.socket.setNoDelay(true);
    let text = '';
    this.socket.on('error', () => {});
    this.socket.on('close', () => this.onClose());
    this.socket.on('data', bytes => {
      const parts = (text + bytes.toString('latin1')).split('\r\n');
      text = parts.pop();
      for (const line of parts) this.onLine(line);
    });
  }

  onLine(line) {
    this.lines.push(line);
    const isError = line.startsWith('ERROR') && this.isStarting;
    if (!line.startsWith('READY') && !isError) return;
    const reply = this.lines;
    this.lines = [];
    this.waiting.shift()?.(reply);
  }

  onClose() {
    this.isClosed = true;
    for (const resolve of this.waiting.splice(0)) resolve(['CLOSED']);
  }

  send(line, timeoutMs) {
    if (this.isClosed) return Promise.resolve(['CLOSED']);
    return new Promise(resolve => {
      const timer = setTimeout(() => resolve(['SILENT']), timeoutMs);
      this.waiting.push(reply => {
        clearTimeout(timer);
        resolve(reply);
      });
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  async open(database, timeoutMs = 2_000) {
    this.isStarting = true;
    const reply = await this.send(`STARTUP ${database} u1`, timeoutMs);
    this.isStarting = false;
    return reply.at(-1).startsWith('READY');
  }

  async query(text, timeoutMs = 4_000, id = nextId()) {
    const reply = await this.send(`QUERY ${id} ${text}`, timeoutMs);
    return {id, reply, isDone: reply.some(line => line.startsWith('DONE'))};
  }

  close() {
    this.socket.destroy();
  }
}

/** Runs one statement in a session of its own. */
export async function runOnce(ip, port, database, text, timeoutMs = 4_000) {
  const session = new Session(ip, port);
  const isOpen = await session.open(database);
  if (!isOpen) {
    session.close();
    return {id: '', reply: ['NOT OPEN'], isDone: false};
  }
  const outcome = await session.query(text, timeoutMs);
  session.close();
  return outcome;
}

// A stand-in for a client of the users' platform.
import {connect} from 'node:net';

const STARTUP_MS = 2_000;

/** One session at a proxy. */
export class Session {
  answers = [];
  pending = undefined;
  rest = '';
  isClosed = false;

  constructor(address, database, record) {
    const [host, port] = address.split(':');
    this.record = record;
    this.socket = connect({host, port: Number(port)});
    this.socket.on('data', bytes => this.onData(bytes));
    this.socket.on('error', () => {});
    this.socket.on('close', () => this.onClose());
    this.database = database;
  }

  /** Starts the session; false if it is refused. */
  async open() {
    const timer = setTimeout(() => this.socket.destroy(), STARTUP_MS);
    const answer = await this.exchange(`STARTUP ${this.database} u1`);
    clearTimeout(timer);
    return answer.at(-1)?.startsWith('READY') ?? false;
  }

  /** Sends one statement; resolves to its answer, or what there is of it. */
  async query(requestId, text, timeoutMs = 5_000) {
    const timer = setTimeout(() => this.socket.destroy(), timeoutMs);
    const answer = await this.exchange(`QUERY ${requestId} ${text}`);
    clearTimeout(timer);
    const ready = answer.at(-1) ?? '';
    const result = answer.find(line => /^(DONE|ERROR) /.test(line));
    const isWhole = ready.startsWith('READY') && result !== undefined;
    const outcome = isWhole ? result : 'no whole answer';
    this.record(`client: ${requestId} ${JSON.stringify(text)}: ${outcome}`);
    return {isDone: isWhole && result.startsWith('DONE'), outcome, answer};
  }

  close() {
    this.socket.end('QUIT\r\n');
  }

  exchange(line) {
    if (this.isClosed) return Promise.resolve([]);
    this.answers = [];
    this.socket.write(`${line}\r\n`, 'latin1');
    return new Promise(resolve => (this.pending = resolve));
  }

  onData(bytes) {
    const lines = (this.rest + bytes.toString('latin1')).split('\r\n');
    this.rest = lines.pop();
    for (const line of lines) {
      this.answers.push(line);
      if (!line.startsWith('READY')) continue;
      const {pending, answers} = this;
      this.pending = undefined;
      this.answers = [];
      pending?.(answers);
    }
  }

  onClose() {
    this.isClosed = true;
    this.pending?.(this.answers);
    this.pending = undefined;
  }
}

/**
 * A client that sends operations one after the other, each with up to two
 * retries after an answer that promises that nothing is kept.
 */
export class Caller {
  /** All operations, with the time of their start and whether they succeeded. */
  operations = [];
  isStopped = false;

  /**
   * @param makeText Returns the text of the operation of a number.
   */
  constructor({name, proxies, database, makeText, intervalMs, record}) {
    Object.assign(this, {name, proxies, database, makeText});
    Object.assign(this, {intervalMs, record});
  }

  async run() {
    let session;
    for (let number = 1; !this.isStopped; number++) {
      const operation = {startedAt: Date.now(), isDone: false};
      operation.text = this.makeText(number);
      this.operations.push(operation);
      for (let attempt = 0; attempt < 3; attempt++) {
        session = await this.usable(session, number + attempt);
        const requestId = `${this.name}-${number}-${attempt}`;
        const reply = await session?.query(requestId, operation.text);
        operation.requestId = requestId;
        operation.isDone = reply?.isDone ?? false;
        if (operation.isDone || !isPromise(reply)) break;
        if (this.isStopped) break;
        await sleep(200 * (attempt + 1));
      }
      operation.endedAt = Date.now();
      await sleep(this.intervalMs);
    }
    session?.close();
  }

  async usable(session, number) {
    if (session && !session.isClosed) return session;
    const address = this.proxies[number % this.proxies.length];
    const next = new Session(address, this.database, this.record);
    return (await next.open()) ? next : undefined;
  }
}

/** Whether an answer says that nothing of the attempt is kept. */
function isPromise(reply) {
  if (reply === undefined) return true;
  return /^ERROR (BUSY|ABORTED|LAGGING|READONLY|MOVED|TOOMANY)/.test(
    reply.outcome,
  );
}

function sleep(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

import type {Socket} from 'node:net';
import {Mailbox, settled, type Task} from '../../../base/node/task';
import {after, ownController} from '../../../base/node/timers';
import {FrameDecoder, type Frame} from '../common/frames';
import {decodeStartup, type StartupPacket} from '../common/frontend';

/** Reading pauses while more frames than this wait to be handled. */
const MOST_WAITING_FRAMES = 256;
const MOST_STARTUP_BYTES = 10_000;
const STARTUP_MS = 10_000;

/** Something that happened around a connection while its task waits. */
export type ConnectionEvent = 'stop' | 'idle too long';

/** What came in from the other side, or an event of this one. */
export type ConnectionInput =
  | {readonly kind: 'event'; readonly event: ConnectionEvent}
  | {readonly kind: 'startup'; readonly packet: StartupPacket}
  | {readonly kind: 'frame'; readonly frame: Frame}
  /** The bytes are no frames, or one is longer than allowed. */
  | {readonly kind: 'error'; readonly reason: string};

/**
 * The server's side of one PostgreSQL connection: owns the socket, gives its
 * task one frame at a time and stops reading while the task is behind.
 */
export class FrameConnection {
  private readonly mailbox = new Mailbox<ConnectionInput>();
  private readonly splitter: FrameDecoder;
  private startupBytes: Buffer = Buffer.alloc(0);
  private started = false;
  private waiting = 0;
  private readonly ended = ownController();

  constructor(
    private readonly socket: Socket,
    mostBytes: number,
    signal: AbortSignal,
  ) {
    this.splitter = new FrameDecoder(mostBytes);
    socket.setNoDelay(true);
    socket.on('data', chunk => this.onData(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.onClose());
    const close = () => socket.destroy();
    signal.addEventListener('abort', close, {once: true});
    this.ended.signal.addEventListener('abort', () => {
      signal.removeEventListener('abort', close);
    });
    // A half-open or silent connection must not hold its place for ever.
    after(this.ended.signal, STARTUP_MS, () => {
      if (!this.started) socket.destroy();
    });
  }

  /** Aborts when the other side is gone. */
  get closedSignal(): AbortSignal {
    return this.ended.signal;
  }

  /** The other side's IP number. */
  get remoteAddress(): string {
    return this.socket.remoteAddress ?? '';
  }

  /** The next thing that came in; undefined once the connection is gone. */
  *receive(): Task<ConnectionInput | undefined> {
    const incoming = yield* this.mailbox.receive();
    this.taken();
    return incoming;
  }

  /** The next thing that came in, if it is there already. */
  poll(): ConnectionInput | undefined {
    const incoming = this.mailbox.poll();
    if (incoming) this.taken();
    return incoming;
  }

  /** Wakes the task with an event, in order with what came in. */
  notify(event: ConnectionEvent): void {
    this.waiting++;
    this.mailbox.post({kind: 'event', event});
  }

  /** Sends bytes; false once the other side is behind. */
  send(bytes: Buffer): boolean {
    if (this.socket.destroyed) return true;
    return this.socket.write(bytes);
  }

  /** Gathers what is sent until the returned function is called. */
  cork(): void {
    this.socket.cork();
  }

  uncork(): void {
    this.socket.uncork();
  }

  /** Resolves when the other side has caught up or is gone. */
  caughtUp(): Promise<void> {
    if (!this.socket.writableNeedDrain || this.socket.destroyed) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const done = () => {
        this.socket.off('drain', done);
        this.socket.off('close', done);
        resolve();
      };
      this.socket.on('drain', done);
      this.socket.on('close', done);
    });
  }

  *waitForDrain(): Task<void> {
    if (this.socket.writableNeedDrain) yield* settled(this.caughtUp());
  }

  /** Sends last bytes and closes. */
  end(bytes?: Buffer): void {
    if (bytes) this.socket.end(bytes);
    else this.socket.end();
  }

  destroy(): void {
    this.socket.destroy();
  }

  private taken(): void {
    this.waiting--;
    if (this.waiting < MOST_WAITING_FRAMES) this.socket.resume();
  }

  private onData(chunk: Buffer): void {
    if (!this.started) return this.onStartupData(chunk);
    const frames = this.splitter.push(chunk);
    if ('length' in frames && 'type' in frames) {
      const reason = `message of ${frames.length} bytes`;
      this.put({kind: 'error', reason});
      this.socket.pause();
      return;
    }
    for (const frame of frames) this.put({kind: 'frame', frame});
  }

  private onStartupData(chunk: Buffer): void {
    this.startupBytes = Buffer.concat([this.startupBytes, chunk]);
    while (!this.started && this.startupBytes.length >= 4) {
      const length = this.startupBytes.readUInt32BE(0);
      if (length < 8 || length > MOST_STARTUP_BYTES) {
        this.put({kind: 'error', reason: 'startup packet of a wrong length'});
        this.socket.pause();
        return;
      }
      if (this.startupBytes.length < length) return;
      const packet = decodeStartup(this.startupBytes.subarray(4, length));
      this.startupBytes = this.startupBytes.subarray(length);
      this.started = packet.kind !== 'encryption';
      this.put({kind: 'startup', packet});
    }
    if (this.started && this.startupBytes.length > 0) {
      const rest = this.startupBytes;
      this.startupBytes = Buffer.alloc(0);
      this.onData(rest);
    }
  }

  private put(incoming: ConnectionInput): void {
    this.waiting++;
    if (this.waiting >= MOST_WAITING_FRAMES) this.socket.pause();
    if (!this.mailbox.post(incoming)) this.socket.destroy();
  }

  private onClose(): void {
    this.mailbox.close();
    this.ended.abort();
  }
}

import type {Socket} from 'node:net';
import {Mailbox, settled, type Task} from '../../../base/node/task';
import {after, createAbortController} from '../../../base/node/timers';
import {FrameDecoder, type Frame} from '../common/frames';
import {decodeStartup, type StartupPacket} from '../common/frontend';

/** Reading pauses while more frames than this are pending. */
const MAX_PENDING_FRAMES = 256;
const MAX_STARTUP_BYTES = 10_000;
const STARTUP_TIMEOUT_MS = 10_000;

/** An event that wakes the task of a connection. */
export type ConnectionEvent = 'stop' | 'idle timeout';

/** A message of the peer, or a local event. */
export type ConnectionInput =
  | {readonly kind: 'event'; readonly event: ConnectionEvent}
  | {readonly kind: 'startup'; readonly packet: StartupPacket}
  | {readonly kind: 'frame'; readonly frame: Frame}
  /** The bytes are not valid frames, or a frame is too long. */
  | {readonly kind: 'error'; readonly reason: string};

/**
 * The server side of a PostgreSQL connection. Owns the socket, passes frames to
 * its task one at a time and stops reading while too many are pending.
 */
export class FrameConnection {
  private readonly mailbox = new Mailbox<ConnectionInput>();
  private readonly decoder: FrameDecoder;
  private startupBytes: Buffer = Buffer.alloc(0);
  private hasStarted = false;
  private pendingCount = 0;
  private readonly closeController = createAbortController();

  constructor(
    private readonly socket: Socket,
    maxBytes: number,
    signal: AbortSignal,
  ) {
    this.decoder = new FrameDecoder(maxBytes);
    socket.setNoDelay(true);
    socket.on('data', chunk => this.onData(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.onClose());
    const close = () => socket.destroy();
    signal.addEventListener('abort', close, {once: true});
    this.closeController.signal.addEventListener('abort', () => {
      signal.removeEventListener('abort', close);
    });
    // A half-open or silent connection must not count as open for ever.
    after(this.closeController.signal, STARTUP_TIMEOUT_MS, () => {
      if (!this.hasStarted) socket.destroy();
    });
  }

  /** Aborted when the connection is closed. */
  get closedSignal(): AbortSignal {
    return this.closeController.signal;
  }

  /** The peer's IP address; '' if it is unknown. */
  get remoteAddress(): string {
    return this.socket.remoteAddress ?? '';
  }

  /** Waits for the next input; undefined once the connection is closed. */
  *receive(): Task<ConnectionInput | undefined> {
    const input = yield* this.mailbox.receive();
    this.recordTaken();
    return input;
  }

  /** The next input if there is one already. */
  poll(): ConnectionInput | undefined {
    const input = this.mailbox.poll();
    if (input) this.recordTaken();
    return input;
  }

  /** Queues an event behind the inputs received so far. */
  notify(event: ConnectionEvent): void {
    this.pendingCount++;
    this.mailbox.post({kind: 'event', event});
  }

  /** Sends bytes; false once the write buffer is full. */
  send(bytes: Buffer): boolean {
    if (this.socket.destroyed) return true;
    return this.socket.write(bytes);
  }

  /** Buffers what is sent until `uncork` is called. */
  cork(): void {
    this.socket.cork();
  }

  uncork(): void {
    this.socket.uncork();
  }

  /** Resolves when the write buffer has drained or the socket is closed. */
  whenDrained(): Promise<void> {
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
    if (this.socket.writableNeedDrain) yield* settled(this.whenDrained());
  }

  /** Sends final bytes and closes the connection. */
  end(bytes?: Buffer): void {
    if (bytes) this.socket.end(bytes);
    else this.socket.end();
  }

  destroy(): void {
    this.socket.destroy();
  }

  private recordTaken(): void {
    this.pendingCount--;
    if (this.pendingCount < MAX_PENDING_FRAMES) this.socket.resume();
  }

  private onData(chunk: Buffer): void {
    if (!this.hasStarted) return this.onStartupData(chunk);
    const frames = this.decoder.push(chunk);
    if ('length' in frames && 'type' in frames) {
      const reason = `message of ${frames.length} bytes`;
      this.post({kind: 'error', reason});
      this.socket.pause();
      return;
    }
    for (const frame of frames) this.post({kind: 'frame', frame});
  }

  private onStartupData(chunk: Buffer): void {
    this.startupBytes = Buffer.concat([this.startupBytes, chunk]);
    while (!this.hasStarted && this.startupBytes.length >= 4) {
      const length = this.startupBytes.readUInt32BE(0);
      if (length < 8 || length > MAX_STARTUP_BYTES) {
        this.post({kind: 'error', reason: 'startup packet of a wrong length'});
        this.socket.pause();
        return;
      }
      if (this.startupBytes.length < length) return;
      const packet = decodeStartup(this.startupBytes.subarray(4, length));
      this.startupBytes = this.startupBytes.subarray(length);
      this.hasStarted = packet.kind !== 'encryption';
      this.post({kind: 'startup', packet});
    }
    if (this.hasStarted && this.startupBytes.length > 0) {
      const rest = this.startupBytes;
      this.startupBytes = Buffer.alloc(0);
      this.onData(rest);
    }
  }

  private post(input: ConnectionInput): void {
    this.pendingCount++;
    if (this.pendingCount >= MAX_PENDING_FRAMES) this.socket.pause();
    if (!this.mailbox.post(input)) this.socket.destroy();
  }

  private onClose(): void {
    this.mailbox.close();
    this.closeController.abort();
  }
}

import {fstatSync, write} from 'node:fs';
import {Socket} from 'node:net';

/** Limit of the buffer for a slow reader; further lines are omitted. */
const MAX_PENDING_BYTES = 256 * 1024;

/**
 * Writes lines to a file descriptor without blocking on its reader.
 *
 * Guard: Node's standard streams write to pipes synchronously, so a stalled
 * reader would block the whole process. Lines are buffered up to a limit,
 * omitted beyond it, and the next written line reports how many.
 */
export class LineSink {
  private readonly socket: Socket | undefined;
  private pendingBytes = 0;
  private omittedCount = 0;
  private readonly drainListeners: (() => void)[] = [];

  constructor(private readonly descriptor: number) {
    const stat = fstatSync(descriptor);
    const isStream = stat.isFIFO() || stat.isSocket();
    if (!isStream) return;
    this.socket = new Socket({fd: descriptor, readable: false, writable: true});
    // The reader is gone; the error cannot be reported anywhere.
    this.socket.on('error', () => {});
    this.socket.unref();
  }

  /** Writes or buffers the line; false if it was omitted. */
  writeLine(line: string): boolean {
    const bytes = Buffer.byteLength(line) + 1;
    if (this.pendingBytes + bytes > MAX_PENDING_BYTES) {
      this.omittedCount++;
      return false;
    }
    const notice = this.takeOmissionNotice();
    const text = `${notice}${line}\n`;
    this.pendingBytes += bytes;
    const onDidWrite = () => {
      this.pendingBytes -= bytes;
      if (this.pendingBytes === 0) this.onDidDrain();
    };
    if (this.socket) this.socket.write(text, onDidWrite);
    else write(this.descriptor, text, onDidWrite);
    return true;
  }

  /** Calls back once all buffered lines are written. */
  onceDrained(listener: () => void): void {
    if (this.pendingBytes === 0) listener();
    else this.drainListeners.push(listener);
  }

  private onDidDrain(): void {
    for (const listener of this.drainListeners.splice(0)) listener();
  }

  private takeOmissionNotice(): string {
    if (this.omittedCount === 0) return '';
    const notice = {
      sentence: 'Log lines were omitted.',
      count: this.omittedCount,
    };
    this.omittedCount = 0;
    return `${JSON.stringify(notice)}\n`;
  }
}

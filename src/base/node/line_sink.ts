import {fstatSync, write} from 'node:fs';
import {Socket} from 'node:net';

/** Lines that wait for a slow reader, in bytes; more are left out. */
const MOST_WAITING_BYTES = 256 * 1024;

/**
 * Writes lines to a descriptor without ever waiting for its reader.
 *
 * Guard: the standard streams of Node write to pipes synchronously, so a
 * reader that stalls would stop the whole process. Here lines wait up to a
 * limit and are left out past it; the next line that fits says how many.
 */
export class LineSink {
  private readonly socket: Socket | undefined;
  private waiting = 0;
  private omitted = 0;

  constructor(private readonly descriptor: number) {
    const stat = fstatSync(descriptor);
    const isStream = stat.isFIFO() || stat.isSocket();
    if (!isStream) return;
    this.socket = new Socket({fd: descriptor, readable: false, writable: true});
    // A reader that is gone: there is nobody left to tell.
    this.socket.on('error', () => {});
    this.socket.unref();
  }

  /** Whether the line was taken. */
  writeLine(line: string): boolean {
    const bytes = Buffer.byteLength(line) + 1;
    if (this.waiting + bytes > MOST_WAITING_BYTES) {
      this.omitted++;
      return false;
    }
    const note = this.takeNote();
    const text = `${note}${line}\n`;
    this.waiting += bytes;
    const done = () => {
      this.waiting -= bytes;
    };
    if (this.socket) this.socket.write(text, done);
    else write(this.descriptor, text, done);
    return true;
  }

  private takeNote(): string {
    if (this.omitted === 0) return '';
    const note = {sentence: 'Lines were left out.', count: this.omitted};
    this.omitted = 0;
    return `${JSON.stringify(note)}\n`;
  }
}

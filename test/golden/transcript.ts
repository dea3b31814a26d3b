import {createConnection, type Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {
  decodeCommandComplete,
  decodeDiagnostic,
  decodeParameterStatus,
  decodeReadyForQuery,
} from '../../src/services/wire/common/backend';
import {
  bodyOf,
  FrameDecoder,
  type Frame,
} from '../../src/services/wire/common/frames';
import {BodyReader} from '../../src/services/wire/common/body_reader';

/** A caller that writes down every frame it sees. */
export class Transcript {
  private readonly splitter = new FrameDecoder(1_000_000);
  private readonly lines: string[] = [];
  private waiting: (() => void) | undefined;

  private constructor(private readonly socket: Socket) {
    socket.on('data', chunk => this.onData(chunk));
    socket.on('close', () => {
      this.lines.push('  < closed');
      this.waiting?.();
    });
    socket.on('error', () => {});
  }

  static async open(
    port: number,
    parameters: Record<string, string>,
  ): Promise<Transcript> {
    const socket = createConnection(port, '127.0.0.1');
    const transcript = new Transcript(socket);
    transcript.note(`> startup ${JSON.stringify(parameters)}`);
    await transcript.say(serialize.startup(parameters as never));
    return transcript;
  }

  get text(): string {
    return `${this.lines.join('\n')}\n`;
  }

  note(line: string): void {
    this.lines.push(line);
  }

  /** A simple query. */
  async query(text: string): Promise<void> {
    this.note(`> query ${text}`);
    await this.say(serialize.query(text));
  }

  /** A batch of the extended protocol. */
  async batch(name: string, text: string, values: string[]): Promise<void> {
    const shown = JSON.stringify(values);
    this.note(`> parse "${name}" ${text}; bind ${shown}; execute; sync`);
    await this.say(
      Buffer.concat([
        serialize.parse({name, text}),
        serialize.bind({statement: name, values}),
        serialize.describe({type: 'P'}),
        serialize.execute(),
        serialize.sync(),
      ]),
    );
  }

  async end(): Promise<void> {
    this.note('> terminate');
    await this.say(serialize.end());
  }

  /** Sends bytes and waits for the next ReadyForQuery or the end. */
  private async say(bytes: Buffer): Promise<void> {
    const ready = new Promise<void>(resolve => (this.waiting = resolve));
    this.socket.write(bytes);
    await ready;
  }

  private onData(chunk: Buffer): void {
    const frames = this.splitter.push(chunk);
    if ('type' in frames) throw new Error('not a frame');
    for (const frame of frames) {
      const line = describe(frame);
      if (line) this.note(`  < ${line}`);
      if (frame.type === 'Z'.charCodeAt(0)) this.waiting?.();
    }
  }
}

/** One frame as a line; undefined for what differs from run to run. */
function describe(frame: Frame): string | undefined {
  const body = bodyOf(frame);
  switch (String.fromCharCode(frame.type)) {
    case 'R':
      return 'authentication ok';
    case 'K':
      return undefined;
    case 'S':
      return `parameter ${decodeParameterStatus(body).join(' = ')}`;
    case 'Z':
      return `ready ${decodeReadyForQuery(body)}`;
    case 'T':
      return `columns ${columnsOf(body).join(', ')}`;
    case 'D':
      return `row ${valuesOf(body).join(', ')}`;
    case 'C':
      return `complete ${decodeCommandComplete(body)}`;
    case 'E':
    case 'N': {
      const {severity, code, message, hint} = decodeDiagnostic(body);
      const more = hint === undefined ? '' : ` (${hint})`;
      return `${severity} ${code} ${message}${more}`;
    }
    case '1':
      return 'parse complete';
    case '2':
      return 'bind complete';
    case 'n':
      return 'no data';
    default:
      return `frame ${String.fromCharCode(frame.type)}`;
  }
}

function columnsOf(body: Buffer): string[] {
  const reader = new BodyReader(body);
  const count = reader.int16() ?? 0;
  return Array.from({length: count}, () => {
    const name = reader.cstring() ?? '';
    reader.bytes(18);
    return name;
  });
}

function valuesOf(body: Buffer): string[] {
  const reader = new BodyReader(body);
  const count = reader.int16() ?? 0;
  return Array.from({length: count}, () => {
    const length = reader.int32() ?? -1;
    return length < 0 ? 'NULL' : reader.bytes(length)!.toString();
  });
}

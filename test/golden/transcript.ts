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

/** A client that records its requests and every frame it receives. */
export class Transcript {
  private readonly decoder = new FrameDecoder(1_000_000);
  private readonly lines: string[] = [];
  private onDidComplete: (() => void) | undefined;

  private constructor(private readonly socket: Socket) {
    socket.on('data', chunk => this.onData(chunk));
    socket.on('close', () => {
      this.lines.push('  < closed');
      this.onDidComplete?.();
    });
    socket.on('error', () => {});
  }

  static async open(
    port: number,
    parameters: Record<string, string>,
  ): Promise<Transcript> {
    const socket = createConnection(port, '127.0.0.1');
    const transcript = new Transcript(socket);
    transcript.addLine(`> startup ${JSON.stringify(parameters)}`);
    await transcript.send(serialize.startup(parameters as never));
    return transcript;
  }

  get text(): string {
    return `${this.lines.join('\n')}\n`;
  }

  addLine(line: string): void {
    this.lines.push(line);
  }

  /** Runs a query with the simple protocol. */
  async runQuery(text: string): Promise<void> {
    this.addLine(`> query ${text}`);
    await this.send(serialize.query(text));
  }

  /** Runs a statement with the extended protocol. */
  async runBatch(name: string, text: string, values: string[]): Promise<void> {
    const valuesText = JSON.stringify(values);
    this.addLine(
      `> parse "${name}" ${text}; bind ${valuesText}; execute; sync`,
    );
    await this.send(
      Buffer.concat([
        serialize.parse({name, text}),
        serialize.bind({statement: name, values}),
        serialize.describe({type: 'P'}),
        serialize.execute(),
        serialize.sync(),
      ]),
    );
  }

  async terminate(): Promise<void> {
    this.addLine('> terminate');
    await this.send(serialize.end());
  }

  /** Sends bytes and waits for the next ReadyForQuery or the close. */
  private async send(bytes: Buffer): Promise<void> {
    const ready = new Promise<void>(resolve => (this.onDidComplete = resolve));
    this.socket.write(bytes);
    await ready;
  }

  private onData(chunk: Buffer): void {
    const frames = this.decoder.push(chunk);
    if ('type' in frames) throw new Error('received an invalid frame');
    for (const frame of frames) {
      const line = describeFrame(frame);
      if (line) this.addLine(`  < ${line}`);
      if (frame.type === 'Z'.charCodeAt(0)) this.onDidComplete?.();
    }
  }
}

/** Formats a frame as a line; undefined if it differs between runs. */
function describeFrame(frame: Frame): string | undefined {
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
      const hintText = hint === undefined ? '' : ` (${hint})`;
      return `${severity} ${code} ${message}${hintText}`;
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

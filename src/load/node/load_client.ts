import type {Result} from '../../base/common/outcome';
import {
  TargetConnection,
  type AnswerListener,
  type OpenFailure,
  type TargetLogin,
} from '../../services/pool/node/target_connection';
import {decodeDiagnostic} from '../../services/wire/common/backend';
import {
  bodyOf,
  typeByteOf,
  type Frame,
} from '../../services/wire/common/frames';
import {BodyReader} from '../../services/wire/common/body_reader';
import {serialize} from 'pg-protocol';

const DATA_ROW = typeByteOf('D');
const ERROR = typeByteOf('E');
const READY = typeByteOf('Z');

/** How a statement ended for a caller. */
export interface StatementEnd {
  /** The SQLSTATE of an error, '' for none, 'lost' with the connection. */
  readonly code: string;
  readonly firstValues: readonly string[];
}

/** A caller of the proxy: one statement at a time. */
export class LoadClient implements AnswerListener {
  private code = '';
  private values: string[] = [];
  private resolve: ((end: StatementEnd) => void) | undefined;

  private constructor(private readonly connection: TargetConnection) {
    connection.setListener(this);
  }

  static async open(
    login: TargetLogin,
    signal: AbortSignal,
  ): Promise<Result<LoadClient, OpenFailure>> {
    const opened = await TargetConnection.open(login, signal, () => {});
    return opened.map(connection => new LoadClient(connection));
  }

  get isClosed(): boolean {
    return this.connection.isClosed;
  }

  query(text: string): Promise<StatementEnd> {
    if (this.isClosed) {
      return Promise.resolve({code: 'lost', firstValues: []});
    }
    this.code = '';
    this.values = [];
    return new Promise(resolve => {
      this.resolve = resolve;
      this.connection.send(serialize.query(text));
    });
  }

  close(): void {
    this.connection.destroy();
  }

  onDidReceive(frames: readonly Frame[]): void {
    for (const frame of frames) {
      if (frame.type === ERROR) {
        this.code = decodeDiagnostic(bodyOf(frame)).code;
      }
      if (frame.type === DATA_ROW) this.values.push(firstValueOf(frame));
      if (frame.type === READY) this.finish(this.code);
    }
  }

  onDidClose(): void {
    this.finish('lost');
  }

  private finish(code: string): void {
    this.resolve?.({code, firstValues: this.values});
    this.resolve = undefined;
  }
}

function firstValueOf(frame: Frame): string {
  const reader = new BodyReader(bodyOf(frame));
  reader.int16();
  return reader.bytes(reader.int32() ?? -1)?.toString() ?? '';
}

import type {Result} from '../../base/common/result';
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

/** The outcome of a statement as its caller sees it. */
export interface StatementOutcome {
  /** SQLSTATE of the error, '' on success, 'lost' if the connection closed. */
  readonly code: string;
  /** The first column of each row. */
  readonly firstValues: readonly string[];
}

/** A proxy connection that runs one statement at a time. */
export class LoadClient implements AnswerListener {
  private code = '';
  private firstValues: string[] = [];
  private resolvePending: ((outcome: StatementOutcome) => void) | undefined;

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

  query(text: string): Promise<StatementOutcome> {
    if (this.isClosed) {
      return Promise.resolve({code: 'lost', firstValues: []});
    }
    this.code = '';
    this.firstValues = [];
    return new Promise(resolve => {
      this.resolvePending = resolve;
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
      if (frame.type === DATA_ROW) this.firstValues.push(firstValueOf(frame));
      if (frame.type === READY) this.complete(this.code);
    }
  }

  onDidClose(): void {
    this.complete('lost');
  }

  private complete(code: string): void {
    this.resolvePending?.({code, firstValues: this.firstValues});
    this.resolvePending = undefined;
  }
}

function firstValueOf(frame: Frame): string {
  const reader = new BodyReader(bodyOf(frame));
  reader.int16();
  return reader.bytes(reader.int32() ?? -1)?.toString() ?? '';
}

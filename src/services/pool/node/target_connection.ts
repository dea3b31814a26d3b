import {connect, type Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {parseAddress} from '../../../base/common/address';
import {err, ok, type Result} from '../../../base/common/outcome';
import {after} from '../../../base/node/timers';
import {
  decodeDiagnostic,
  decodeParameterStatus,
  type Diagnostic,
} from '../../wire/common/backend';
import {
  bodyOf,
  FrameDecoder,
  typeByteOf,
  type Frame,
} from '../../wire/common/frames';

const MOST_FRAME_BYTES = 1024 * 1024 * 1024;
const OPENING_MS = 3_000;
const ERROR = typeByteOf('E');
const KEY_DATA = typeByteOf('K');
const PARAMETER = typeByteOf('S');
const READY = typeByteOf('Z');

/** Where and as whom a connection is opened. */
export interface TargetLogin {
  readonly address: string;
  readonly user: string;
  readonly database: string;
  /** Settings of the session, as `-c name=value` pairs. */
  readonly options?: string;
}

/** Who hears what a target answers; one at a time. */
export interface AnswerListener {
  onDidReceive(frames: readonly Frame[]): void;
  onDidClose(): void;
}

/** Why a connection was not opened. */
export type OpenFailure =
  | {readonly kind: 'unreachable'; readonly detail: string}
  | {readonly kind: 'refused'; readonly diagnostic: Diagnostic};

/** One connection to a target, used by one transaction at a time. */
export class TargetConnection {
  /** Statements that are prepared here, by their text and types. */
  readonly preparedStatements = new Map<string, string>();
  /** Session state was left behind that the next user must not see. */
  isDirty = false;
  incarnation = '';
  private listener: AnswerListener | undefined;
  private processId = 0;
  private secret = 0;
  private closed = false;
  private readonly splitter = new FrameDecoder(MOST_FRAME_BYTES);

  private constructor(
    private readonly socket: Socket,
    private readonly login: TargetLogin,
    private readonly onDidClose: (connection: TargetConnection) => void,
  ) {
    socket.setNoDelay(true);
    socket.on('data', chunk => this.onData(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.onSocketClose());
  }

  /** Opens a connection and waits until the target is ready. */
  static open(
    login: TargetLogin,
    signal: AbortSignal,
    onDidClose: (connection: TargetConnection) => void,
  ): Promise<Result<TargetConnection, OpenFailure>> {
    const address = parseAddress(login.address);
    if (!address) {
      return Promise.resolve(
        err({kind: 'unreachable', detail: `address ${login.address}`}),
      );
    }
    const socket = connect(address.port, address.host);
    const connection = new TargetConnection(socket, login, onDidClose);
    return connection.greet(signal);
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Names whoever hears the answers from now on. */
  setListener(listener: AnswerListener | undefined): void {
    this.listener = listener;
  }

  send(bytes: Buffer): void {
    this.socket.write(bytes);
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  destroy(): void {
    this.socket.destroy();
  }

  /** Asks the target to give up what this connection runs. */
  cancel(): void {
    const address = parseAddress(this.login.address);
    if (!address) return;
    const socket = connect(address.port, address.host);
    socket.on('error', () => socket.destroy());
    socket.end(serialize.cancel(this.processId, this.secret));
  }

  private greet(
    signal: AbortSignal,
  ): Promise<Result<TargetConnection, OpenFailure>> {
    return new Promise(resolve => {
      const finish = (outcome: Result<TargetConnection, OpenFailure>) => {
        cancelTimer();
        this.listener = undefined;
        if (outcome.isErr) this.destroy();
        resolve(outcome);
      };
      const cancelTimer = after(signal, OPENING_MS, () => {
        finish(err({kind: 'unreachable', detail: 'no answer in time'}));
      });
      this.listener = {
        onDidReceive: frames => {
          const outcome = this.onGreeting(frames);
          if (outcome) finish(outcome);
        },
        onDidClose: () => {
          finish(err({kind: 'unreachable', detail: 'connection closed'}));
        },
      };
      this.socket.once('connect', () => {
        const {user, database, options = ''} = this.login;
        this.send(serialize.startup({user, database, options}));
      });
    });
  }

  private onGreeting(
    frames: readonly Frame[],
  ): Result<TargetConnection, OpenFailure> | undefined {
    for (const frame of frames) {
      const body = bodyOf(frame);
      if (frame.type === READY) return ok(this);
      if (frame.type === ERROR) {
        const diagnostic = decodeDiagnostic(body);
        return err({kind: 'refused', diagnostic});
      }
      if (frame.type === KEY_DATA) {
        this.processId = body.readInt32BE(0);
        this.secret = body.readInt32BE(4);
      }
      if (frame.type === PARAMETER) {
        const [name, value] = decodeParameterStatus(body);
        if (name === 'group_incarnation') this.incarnation = value;
      }
    }
    return undefined;
  }

  private onData(chunk: Buffer): void {
    const frames = this.splitter.push(chunk);
    if ('type' in frames) {
      this.socket.destroy();
      return;
    }
    if (frames.length === 0) return;
    if (this.listener) this.listener.onDidReceive(frames);
    // An answer that nobody asked for would reach the next user.
    else this.socket.destroy();
  }

  private onSocketClose(): void {
    if (this.closed) return;
    this.closed = true;
    const {listener} = this;
    this.listener = undefined;
    listener?.onDidClose();
    this.onDidClose(this);
  }
}

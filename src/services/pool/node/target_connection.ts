import {connect, type Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {parseAddress} from '../../../base/common/address';
import {err, ok, type Result} from '../../../base/common/result';
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

const MAX_FRAME_BYTES = 1024 * 1024 * 1024;
const OPEN_TIMEOUT_MS = 3_000;
const ERROR_RESPONSE = typeByteOf('E');
const BACKEND_KEY_DATA = typeByteOf('K');
const PARAMETER_STATUS = typeByteOf('S');
const READY_FOR_QUERY = typeByteOf('Z');

/** The address and the startup parameters of a connection. */
export interface TargetLogin {
  readonly address: string;
  readonly user: string;
  readonly database: string;
  /** Settings of the session, as `-c name=value` pairs. */
  readonly options?: string;
}

/** Receives the messages of a target. */
export interface AnswerListener {
  onDidReceive(frames: readonly Frame[]): void;
  onDidClose(): void;
}

/** Why a connection was not opened. */
export type OpenFailure =
  | {readonly kind: 'unreachable'; readonly detail: string}
  | {readonly kind: 'refused'; readonly diagnostic: Diagnostic};

/** A connection to a target, used by one transaction at a time. */
export class TargetConnection {
  /** Names of prepared statements, by their text and parameter types. */
  readonly preparedStatements = new Map<string, string>();
  /** Whether session state was left behind that the next user must not see. */
  isDirty = false;
  incarnation = '';
  private listener: AnswerListener | undefined;
  private processId = 0;
  private secretKey = 0;
  private closed = false;
  private readonly decoder = new FrameDecoder(MAX_FRAME_BYTES);

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

  /** Opens a connection and waits until the target is ready for queries. */
  static open(
    login: TargetLogin,
    signal: AbortSignal,
    onDidClose: (connection: TargetConnection) => void,
  ): Promise<Result<TargetConnection, OpenFailure>> {
    const address = parseAddress(login.address);
    if (!address) {
      return Promise.resolve(
        err({
          kind: 'unreachable',
          detail: `invalid address ${login.address}`,
        }),
      );
    }
    const socket = connect(address.port, address.host);
    const connection = new TargetConnection(socket, login, onDidClose);
    return connection.startUp(signal);
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Sets the listener of all messages from now on. */
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

  /** Sends a cancel request for the running statement. */
  cancel(): void {
    const address = parseAddress(this.login.address);
    if (!address) return;
    const socket = connect(address.port, address.host);
    socket.on('error', () => socket.destroy());
    socket.end(serialize.cancel(this.processId, this.secretKey));
  }

  private startUp(
    signal: AbortSignal,
  ): Promise<Result<TargetConnection, OpenFailure>> {
    return new Promise(resolve => {
      const finish = (outcome: Result<TargetConnection, OpenFailure>) => {
        cancelTimeout();
        this.listener = undefined;
        if (outcome.isErr) this.destroy();
        resolve(outcome);
      };
      const cancelTimeout = after(signal, OPEN_TIMEOUT_MS, () => {
        finish(err({kind: 'unreachable', detail: 'no answer in time'}));
      });
      this.listener = {
        onDidReceive: frames => {
          const outcome = this.onStartupFrames(frames);
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

  /** Returns the outcome of the startup; undefined while it goes on. */
  private onStartupFrames(
    frames: readonly Frame[],
  ): Result<TargetConnection, OpenFailure> | undefined {
    for (const frame of frames) {
      const body = bodyOf(frame);
      if (frame.type === READY_FOR_QUERY) return ok(this);
      if (frame.type === ERROR_RESPONSE) {
        const diagnostic = decodeDiagnostic(body);
        return err({kind: 'refused', diagnostic});
      }
      if (frame.type === BACKEND_KEY_DATA) {
        this.processId = body.readInt32BE(0);
        this.secretKey = body.readInt32BE(4);
      }
      if (frame.type === PARAMETER_STATUS) {
        const [name, value] = decodeParameterStatus(body);
        if (name === 'group_incarnation') this.incarnation = value;
      }
    }
    return undefined;
  }

  private onData(chunk: Buffer): void {
    const frames = this.decoder.push(chunk);
    if ('type' in frames) {
      this.socket.destroy();
      return;
    }
    if (frames.length === 0) return;
    if (this.listener) this.listener.onDidReceive(frames);
    // An unexpected message would reach the next user.
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

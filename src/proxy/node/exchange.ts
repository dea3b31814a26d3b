import {Reply, type Task} from '../../base/node/task';
import type {
  AnswerListener,
  TargetConnection,
} from '../../services/pool/node/target_connection';
import {
  parsePosition,
  type Position,
} from '../../services/position/common/position';
import {
  decodeCommandComplete,
  decodeDiagnostic,
  decodeParameterStatus,
  decodeReadyForQuery,
  type Diagnostic,
  type TransactionStatus,
} from '../../services/wire/common/backend';
import {
  bodyOf,
  typeByteOf,
  type Frame,
} from '../../services/wire/common/frames';
import type {OutgoingBatch} from '../common/batch';

const COMPLETE = typeByteOf('C');
const CLOSE_COMPLETE = typeByteOf('3');
const ERROR = typeByteOf('E');
const PARAMETER = typeByteOf('S');
const PARSE_COMPLETE = typeByteOf('1');
const READY = typeByteOf('Z');
const DATA_ROW = typeByteOf('D');

/** Where the answer of a target goes. */
export interface AnswerSink {
  /** False once the receiver is behind. */
  send(bytes: Buffer): boolean;
  caughtUp(): Promise<void>;
}

/** How answers are passed on. */
export type RelayMode =
  /** As they come, with the ReadyForQuery. */
  | 'through'
  /** As they come, without it: the transaction goes on for the proxy. */
  | 'without ready'
  /** The last completion and errors wait for what the commit comes to. */
  | 'hold the end';

/** How an exchange ended. */
export interface ExchangeEnd {
  /** Undefined where the connection was lost first. */
  readonly status: TransactionStatus | undefined;
  /** Where the group's log stood after a commit in it. */
  readonly position: Position | undefined;
  /** Completion or error that the caller has not seen yet. */
  readonly held: Buffer;
  readonly error: Diagnostic | undefined;
  /** The caller has seen a part of the answer. */
  readonly relayed: boolean;
  /** The caller has seen all of it, ReadyForQuery included. */
  readonly complete: boolean;
}

const EMPTY = Buffer.alloc(0);

/** One batch sent to a target and its answer passed on to a sink. */
export class Exchange implements AnswerListener {
  private readonly ended = new Reply<ExchangeEnd>();
  private shownParses: boolean[] = [];
  private hiddenCloses = 0;
  private held: Buffer[] = [];
  private position: Position | undefined;
  private error: Diagnostic | undefined;
  private relayed = false;
  private answered = false;
  private synced = false;

  constructor(
    private readonly connection: TargetConnection,
    private readonly sink: AnswerSink,
    private readonly mode: RelayMode,
  ) {
    connection.setListener(this);
    if (connection.isClosed) this.onDidClose();
  }

  /** Waits for the end. */
  *wait(): Task<ExchangeEnd> {
    return yield* this.ended.wait();
  }

  /** The target has answered with something. */
  get hasAnswer(): boolean {
    return this.answered;
  }

  /** Sends a part of the batch; the last part makes the target end it. */
  send(outgoing: OutgoingBatch, isLast: boolean): void {
    this.shownParses.push(...outgoing.shownParses);
    this.hiddenCloses += outgoing.hiddenCloses;
    this.synced ||= isLast;
    this.connection.send(outgoing.bytes);
  }

  onDidReceive(frames: readonly Frame[]): void {
    this.answered = true;
    const out = new FrameRun();
    for (const frame of frames) {
      if (frame.type === DATA_ROW) {
        this.flushHeld(out);
        out.add(frame.bytes);
        continue;
      }
      if (frame.type === READY) return this.onReady(frame, out);
      this.onFrame(frame, out);
    }
    this.pass(out);
  }

  onDidClose(): void {
    this.finish(undefined);
  }

  private onFrame(frame: Frame, out: FrameRun): void {
    switch (frame.type) {
      case COMPLETE:
        return this.onComplete(frame, out);
      case ERROR:
        return this.onError(frame, out);
      case PARAMETER:
        return this.onParameter(frame, out);
      case PARSE_COMPLETE:
        if (this.shownParses.shift() === false) return;
        break;
      case CLOSE_COMPLETE:
        if (this.hiddenCloses > 0) {
          this.hiddenCloses--;
          return;
        }
    }
    this.flushHeld(out);
    out.add(frame.bytes);
  }

  private onComplete(frame: Frame, out: FrameRun): void {
    this.flushHeld(out);
    const ends =
      this.synced || decodeCommandComplete(bodyOf(frame)) === 'COMMIT';
    if (this.mode === 'hold the end' && ends) {
      this.held.push(Buffer.from(frame.bytes));
    } else {
      out.add(frame.bytes);
    }
  }

  private onError(frame: Frame, out: FrameRun): void {
    this.flushHeld(out);
    this.error ??= decodeDiagnostic(bodyOf(frame));
    if (this.mode === 'hold the end' && this.synced) {
      this.held.push(Buffer.from(frame.bytes));
    } else {
      out.add(frame.bytes);
    }
  }

  private onParameter(frame: Frame, out: FrameRun): void {
    const [name, value] = decodeParameterStatus(bodyOf(frame));
    if (name === 'group_position') this.position = parsePosition(value);
    else if (!name.startsWith('group_')) out.add(frame.bytes);
  }

  private onReady(frame: Frame, out: FrameRun): void {
    // An answer that waits for nothing goes out in one piece: each write to a
    // socket costs as much as all of the routing.
    const complete = this.mode === 'through' && this.position === undefined;
    if (complete) out.add(frame.bytes);
    this.pass(out);
    this.finish(decodeReadyForQuery(bodyOf(frame)), complete);
  }

  private finish(
    status: TransactionStatus | undefined,
    complete = false,
  ): void {
    this.connection.setListener(undefined);
    const {position, error, relayed, held} = this;
    this.ended.give({
      status,
      position,
      held: held.length === 0 ? EMPTY : Buffer.concat(held),
      error,
      relayed,
      complete,
    });
  }

  /** What was held was not the end after all. */
  private flushHeld(out: FrameRun): void {
    if (this.held.length === 0) return;
    for (const bytes of this.held) out.add(bytes);
    this.held = [];
  }

  private pass(out: FrameRun): void {
    const bytes = out.take();
    if (bytes.length === 0) return;
    this.relayed = true;
    let keepsUp = true;
    for (const part of bytes) keepsUp = this.sink.send(part);
    if (keepsUp) return;
    // A slow caller must not make the proxy hold its answer in memory.
    this.connection.pause();
    void this.sink.caughtUp().then(() => this.connection.resume());
  }
}

/** Frames to pass on; neighbours in one buffer go out as one piece. */
class FrameRun {
  private readonly parts: Buffer[] = [];

  add(bytes: Buffer): void {
    const last = this.parts.at(-1);
    const isNext =
      last !== undefined &&
      last.buffer === bytes.buffer &&
      last.byteOffset + last.length === bytes.byteOffset;
    if (!isNext) {
      this.parts.push(bytes);
      return;
    }
    const length = last.length + bytes.length;
    const joined = Buffer.from(last.buffer, last.byteOffset, length);
    this.parts[this.parts.length - 1] = joined;
  }

  take(): readonly Buffer[] {
    return this.parts;
  }
}

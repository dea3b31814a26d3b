import {detach} from '../../base/node/broken_invariant';
import {PendingReply, type Task} from '../../base/node/task';
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

const COMMAND_COMPLETE = typeByteOf('C');
const CLOSE_COMPLETE = typeByteOf('3');
const ERROR_RESPONSE = typeByteOf('E');
const PARAMETER_STATUS = typeByteOf('S');
const PARSE_COMPLETE = typeByteOf('1');
const READY_FOR_QUERY = typeByteOf('Z');
const DATA_ROW = typeByteOf('D');

/** Receives the reply of a target. */
export interface ReplySink {
  /** False if the sender should wait for whenDrained(). */
  send(bytes: Buffer): boolean;
  whenDrained(): Promise<void>;
}

/** Which messages of a reply are relayed at once. */
export type RelayMode =
  /** All of them, ReadyForQuery included if nothing was committed. */
  | 'with ReadyForQuery'
  /** All but ReadyForQuery, since the proxy continues the transaction. */
  | 'without ReadyForQuery'
  /** The last completion or error is held until the commit's outcome. */
  | 'hold completion';

/** How an exchange ended, and what is left to send to the caller. */
export interface ExchangeEnd {
  /** Undefined if the connection was lost before ReadyForQuery. */
  readonly status: TransactionStatus | undefined;
  /** Position of a commit in the group's log. */
  readonly position: Position | undefined;
  /** Completion or error that was not relayed yet. */
  readonly held: Buffer;
  readonly error: Diagnostic | undefined;
  /** A part of the reply was relayed. */
  readonly isRelayed: boolean;
  /** All of the reply was relayed, ReadyForQuery included. */
  readonly isComplete: boolean;
}

const EMPTY = Buffer.alloc(0);

/** Sends one batch to a target and relays the reply to a sink. */
export class Exchange implements AnswerListener {
  private readonly ended = new PendingReply<ExchangeEnd>();
  private relayedParses: boolean[] = [];
  private hiddenCloseCount = 0;
  private heldFrames: Buffer[] = [];
  private position: Position | undefined;
  private error: Diagnostic | undefined;
  private isRelayed = false;
  private hasReceived = false;
  private isLastSent = false;

  constructor(
    private readonly connection: TargetConnection,
    private readonly sink: ReplySink,
    private readonly mode: RelayMode,
  ) {
    connection.setListener(this);
    if (connection.isClosed) this.onDidClose();
  }

  /** Waits for ReadyForQuery or the loss of the connection. */
  *wait(): Task<ExchangeEnd> {
    return yield* this.ended.wait();
  }

  /** Whether any message of the target was received. */
  get hasReply(): boolean {
    return this.hasReceived;
  }

  /** Sends a part of the batch; the last one ends with Query or Sync. */
  send(outgoing: OutgoingBatch, isLast: boolean): void {
    this.relayedParses.push(...outgoing.relayedParses);
    this.hiddenCloseCount += outgoing.hiddenCloseCount;
    this.isLastSent ||= isLast;
    this.connection.send(outgoing.bytes);
  }

  onDidReceive(frames: readonly Frame[]): void {
    this.hasReceived = true;
    const out = new FrameBuffers();
    for (const frame of frames) {
      if (frame.type === DATA_ROW) {
        this.flushHeld(out);
        out.add(frame.bytes);
        continue;
      }
      if (frame.type === READY_FOR_QUERY) return this.onReady(frame, out);
      this.onFrame(frame, out);
    }
    this.relay(out);
  }

  onDidClose(): void {
    this.finish(undefined);
  }

  private onFrame(frame: Frame, out: FrameBuffers): void {
    switch (frame.type) {
      case COMMAND_COMPLETE:
        return this.onCommandComplete(frame, out);
      case ERROR_RESPONSE:
        return this.onErrorResponse(frame, out);
      case PARAMETER_STATUS:
        return this.onParameterStatus(frame, out);
      case PARSE_COMPLETE:
        if (this.relayedParses.shift() === false) return;
        break;
      case CLOSE_COMPLETE:
        if (this.hiddenCloseCount > 0) {
          this.hiddenCloseCount--;
          return;
        }
    }
    this.flushHeld(out);
    out.add(frame.bytes);
  }

  private onCommandComplete(frame: Frame, out: FrameBuffers): void {
    this.flushHeld(out);
    const isFinal =
      this.isLastSent || decodeCommandComplete(bodyOf(frame)) === 'COMMIT';
    if (this.mode === 'hold completion' && isFinal) {
      this.heldFrames.push(Buffer.from(frame.bytes));
    } else {
      out.add(frame.bytes);
    }
  }

  private onErrorResponse(frame: Frame, out: FrameBuffers): void {
    this.flushHeld(out);
    this.error ??= decodeDiagnostic(bodyOf(frame));
    if (this.mode === 'hold completion' && this.isLastSent) {
      this.heldFrames.push(Buffer.from(frame.bytes));
    } else {
      out.add(frame.bytes);
    }
  }

  private onParameterStatus(frame: Frame, out: FrameBuffers): void {
    const [name, value] = decodeParameterStatus(bodyOf(frame));
    if (name === 'group_position') this.position = parsePosition(value);
    else if (!name.startsWith('group_')) out.add(frame.bytes);
  }

  private onReady(frame: Frame, out: FrameBuffers): void {
    // ReadyForQuery goes out in the same write as the rest where possible:
    // socket writes dominate the cost of a request.
    const isComplete =
      this.mode === 'with ReadyForQuery' && this.position === undefined;
    if (isComplete) out.add(frame.bytes);
    this.relay(out);
    this.finish(decodeReadyForQuery(bodyOf(frame)), isComplete);
  }

  private finish(
    status: TransactionStatus | undefined,
    isComplete = false,
  ): void {
    this.connection.setListener(undefined);
    const {position, error, isRelayed, heldFrames} = this;
    this.ended.resolve({
      status,
      position,
      held: heldFrames.length === 0 ? EMPTY : Buffer.concat(heldFrames),
      error,
      isRelayed,
      isComplete,
    });
  }

  /** Relays held frames, since more of the reply follows them. */
  private flushHeld(out: FrameBuffers): void {
    if (this.heldFrames.length === 0) return;
    for (const bytes of this.heldFrames) out.add(bytes);
    this.heldFrames = [];
  }

  private relay(out: FrameBuffers): void {
    const buffers = out.toArray();
    if (buffers.length === 0) return;
    this.isRelayed = true;
    let hasCapacity = true;
    for (const buffer of buffers) hasCapacity = this.sink.send(buffer);
    if (hasCapacity) return;
    // Backpressure: the reply to a slow caller must not fill the memory.
    this.connection.pause();
    detach(
      'exchange',
      this.sink.whenDrained().then(() => this.connection.resume()),
    );
  }
}

/** Frames to relay; adjacent slices of one buffer are merged. */
class FrameBuffers {
  private readonly buffers: Buffer[] = [];

  add(bytes: Buffer): void {
    const last = this.buffers.at(-1);
    const isAdjacent =
      last !== undefined &&
      last.buffer === bytes.buffer &&
      last.byteOffset + last.length === bytes.byteOffset;
    if (!isAdjacent) {
      this.buffers.push(bytes);
      return;
    }
    const length = last.length + bytes.length;
    const merged = Buffer.from(last.buffer, last.byteOffset, length);
    this.buffers[this.buffers.length - 1] = merged;
  }

  toArray(): readonly Buffer[] {
    return this.buffers;
  }
}

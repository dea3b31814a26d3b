import type {RequestKey} from '../../base/common/ids';
import {sleep, type Task} from '../../base/node/task';
import {after} from '../../base/node/timers';
import {formatPosition} from '../../services/position/common/position';
import {POSITION_VARIABLE} from '../../services/session/common/session_state';
import {
  encodeError,
  encodeParameterStatus,
  encodeReadyForQuery,
  type Diagnostic,
} from '../../services/wire/common/backend';
import {BatchEncoder, type BatchMessage} from '../common/batch';
import {notRunError, unknownOutcomeError} from '../common/diagnostics';
import {Exchange, type ReplySink, type ExchangeEnd} from './exchange';
import {
  quoteLiteral,
  runInternalQuery,
  succeeded,
  type InternalQueryResult,
} from './internal_query';
import {waitForCommit, CheckedOutConnection} from './checked_out_connection';
import {classSettingsOf, type SessionContext} from './session_context';

const KEY_TABLE = 'bulrush_requests';
const CREATE_KEY_TABLE = `CREATE TABLE IF NOT EXISTS ${KEY_TABLE} (key text PRIMARY KEY, answer text)`;
const UNDEFINED_TABLE = '42P01';
const DUPLICATE_KEY = '23505';
const SERIALIZATION_FAILURE = '40001';
const READ_ONLY = '25006';
/** The longest reply that is stored for retries. */
const MAX_REPLY_BYTES = 64 * 1024;
const RETRY_DELAY_MS = 15;

/** How one attempt ended. */
type AttemptResult =
  | {readonly kind: 'committed'; readonly bytes: Buffer}
  | {readonly kind: 'failed'; readonly diagnostic: Diagnostic}
  /** The outcome is unknown or nothing was done; the key decides. */
  | {readonly kind: 'retry'};

/**
 * A write with a request key, which commits at most once.
 *
 * Guard: a write retried after a lost reply is not doubled. The key is inserted
 * in the same transaction, so that a retry through any proxy, also after a
 * change of primary, finds it and gets the stored reply.
 */
export class KeyedWrite {
  constructor(
    private readonly context: SessionContext,
    private readonly key: RequestKey,
    private readonly messages: readonly BatchMessage[],
  ) {}

  *run(): Task<void> {
    const {clock} = this.context;
    const {deadlineMs} = classSettingsOf(this.context);
    const deadline = clock.now() + deadlineMs;
    let hasAttempted = false;
    while (clock.now() < deadline) {
      const checkout = yield* CheckedOutConnection.checkOut(
        this.context,
        'write',
        deadline,
      );
      if (checkout.isErr) {
        const diagnostic = hasAttempted
          ? unknownOutcomeError()
          : notRunError(checkout.error);
        return this.sendError(diagnostic);
      }
      hasAttempted = true;
      const result = yield* this.attemptOnce(checkout.value, deadline);
      if (result.kind === 'failed') return this.sendError(result.diagnostic);
      if (result.kind === 'committed') return this.sendReply(result.bytes);
      yield* sleep(RETRY_DELAY_MS);
    }
    this.sendError(unknownOutcomeError());
  }

  private *attemptOnce(
    checkedOut: CheckedOutConnection,
    deadline: number,
  ): Task<AttemptResult> {
    const remainingMs = Math.max(0, deadline - this.context.clock.now());
    const closedSignal = this.context.connection.closedSignal;
    // A hanging target must not delay the reply past the deadline.
    const stopTimer = after(closedSignal, remainingMs, () =>
      checkedOut.connection.destroy(),
    );
    const hasSettings = yield* checkedOut.applySettings();
    const result = hasSettings
      ? yield* this.runTransaction(checkedOut, deadline)
      : ({kind: 'retry'} as const);
    stopTimer();
    yield* checkedOut.release(!checkedOut.connection.isClosed);
    return result;
  }

  private *runTransaction(
    checkedOut: CheckedOutConnection,
    deadline: number,
  ): Task<AttemptResult> {
    const {connection} = checkedOut;
    const key = quoteLiteral(this.key);
    const inserted = yield* runInternalQuery(
      connection,
      `BEGIN; INSERT INTO ${KEY_TABLE} (key, answer) VALUES (${key}, '')`,
    );
    if (!succeeded(inserted)) {
      return yield* this.onInsertFailed(checkedOut, inserted, deadline);
    }
    const sink = new ReplyBuffer();
    const end = yield* this.runBatch(checkedOut, sink);
    if (end.status === undefined) return {kind: 'retry'};
    if (end.error) return yield* this.rollBack(checkedOut, end.error);
    if (sink.isTooLong) return yield* this.rollBack(checkedOut, replyTooLong());
    const reply = quoteLiteral(sink.bytes.toString('base64'));
    const committed = yield* runInternalQuery(
      connection,
      `UPDATE ${KEY_TABLE} SET answer = ${reply} WHERE key = ${key}; COMMIT`,
    );
    return yield* this.onCommitted(committed, sink.bytes, deadline);
  }

  /** The key exists, its table is missing, or the target is read-only. */
  private *onInsertFailed(
    checkedOut: CheckedOutConnection,
    inserted: InternalQueryResult,
    deadline: number,
  ): Task<AttemptResult> {
    const code = inserted.end.error?.code;
    if (inserted.end.status === undefined) return {kind: 'retry'};
    yield* runInternalQuery(checkedOut.connection, 'ROLLBACK');
    if (code === DUPLICATE_KEY) return yield* this.replay(checkedOut, deadline);
    if (code === UNDEFINED_TABLE) {
      yield* runInternalQuery(checkedOut.connection, CREATE_KEY_TABLE);
      return {kind: 'retry'};
    }
    if (code === READ_ONLY) return {kind: 'retry'};
    return {kind: 'failed', diagnostic: inserted.end.error!};
  }

  /**
   * Sends the stored reply again. The update changes nothing; its commit gives
   * a position, whose confirmation by replicas covers the first commit as well.
   */
  private *replay(
    checkedOut: CheckedOutConnection,
    deadline: number,
  ): Task<AttemptResult> {
    const key = quoteLiteral(this.key);
    const found = yield* runInternalQuery(
      checkedOut.connection,
      `SELECT answer FROM ${KEY_TABLE} WHERE key = ${key}`,
    );
    const [reply] = found.firstValues;
    if (!succeeded(found) || reply === undefined) return {kind: 'retry'};
    const updated = yield* runInternalQuery(
      checkedOut.connection,
      `UPDATE ${KEY_TABLE} SET answer = answer WHERE key = ${key}`,
    );
    const bytes = Buffer.from(reply, 'base64');
    return yield* this.onCommitted(updated, bytes, deadline);
  }

  private *onCommitted(
    committed: InternalQueryResult,
    bytes: Buffer,
    deadline: number,
  ): Task<AttemptResult> {
    const {error, position} = committed.end;
    // A concurrent request with the same key committed first.
    const isKeyTaken =
      error?.code === DUPLICATE_KEY || error?.code === SERIALIZATION_FAILURE;
    if (isKeyTaken || error?.code === READ_ONLY) return {kind: 'retry'};
    if (error) return {kind: 'failed', diagnostic: error};
    if (!position) return {kind: 'retry'};
    const {outcome, position: acknowledged} = yield* waitForCommit(
      this.context,
      position,
      deadline,
    );
    if (outcome !== 'done') return {kind: 'retry'};
    this.context.state.recordPosition(acknowledged);
    return {kind: 'committed', bytes};
  }

  private *rollBack(
    checkedOut: CheckedOutConnection,
    diagnostic: Diagnostic,
  ): Task<AttemptResult> {
    yield* runInternalQuery(checkedOut.connection, 'ROLLBACK');
    if (diagnostic.code === READ_ONLY) return {kind: 'retry'};
    return {kind: 'failed', diagnostic};
  }

  private *runBatch(
    checkedOut: CheckedOutConnection,
    sink: ReplySink,
  ): Task<ExchangeEnd> {
    const {connection} = checkedOut;
    const exchange = new Exchange(connection, sink, 'without ReadyForQuery');
    const encoder = new BatchEncoder(
      this.context.preparedStatements,
      connection.preparedStatements,
    );
    exchange.send(encoder.encode(this.messages), true);
    const end = yield* exchange.wait();
    return end;
  }

  private sendReply(bytes: Buffer): void {
    const {connection, state} = this.context;
    const position = formatPosition(state.requiredPosition!);
    const positionStatus = encodeParameterStatus(POSITION_VARIABLE, position);
    connection.send(
      Buffer.concat([bytes, positionStatus, encodeReadyForQuery('idle')]),
    );
  }

  private sendError(diagnostic: Diagnostic): void {
    const error = encodeError(diagnostic);
    this.context.connection.send(
      Buffer.concat([error, encodeReadyForQuery('idle')]),
    );
  }
}

class ReplyBuffer implements ReplySink {
  private readonly chunks: Buffer[] = [];
  private length = 0;

  get bytes(): Buffer {
    return Buffer.concat(this.chunks);
  }

  get isTooLong(): boolean {
    return this.length > MAX_REPLY_BYTES;
  }

  send(bytes: Buffer): boolean {
    this.length += bytes.length;
    if (!this.isTooLong) this.chunks.push(Buffer.from(bytes));
    return true;
  }

  whenDrained(): Promise<void> {
    return Promise.resolve();
  }
}

function replyTooLong(): Diagnostic {
  return {
    severity: 'ERROR',
    code: '54000',
    message: `not run: the answer of a write with a request key has at most ${MAX_REPLY_BYTES} bytes`,
  };
}

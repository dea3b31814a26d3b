import type {RequestKey} from '../../base/common/ids';
import {pause, type Task} from '../../base/node/task';
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
import {notRunError, unknownError} from '../common/diagnostics';
import {Exchange, type AnswerSink, type ExchangeEnd} from './exchange';
import {
  quoteLiteral,
  runOwnQuery,
  succeeded,
  type OwnAnswer,
} from './internal_query';
import {acknowledge, Place} from './checked_out_connection';
import {classSettingsOf, type SessionContext} from './session_context';

const TABLE = 'bulrush_requests';
const CREATE_TABLE = `CREATE TABLE IF NOT EXISTS ${TABLE} (key text PRIMARY KEY, answer text)`;
const UNDEFINED_TABLE = '42P01';
const UNIQUE_VIOLATION = '23505';
const SERIALIZATION_FAILURE = '40001';
const READ_ONLY = '25006';
/** The longest answer that is kept for a repeat, in bytes. */
const MOST_ANSWER_BYTES = 64 * 1024;
const RETRY_MS = 15;

/** How one try came out. */
type Attempt =
  | {readonly kind: 'answered'; readonly bytes: Buffer}
  | {readonly kind: 'failed'; readonly diagnostic: Diagnostic}
  /** The target or term was lost: only the key knows what was done. */
  | {readonly kind: 'try again'};

/**
 * A write that runs at most once for its key, however often it is sent.
 *
 * The key is inserted in the transaction of the write itself. Guard against a
 * doubled lodgement after a lost answer: a repeat, on any proxy and after any
 * change of primary, meets the key and gets the first answer; and since a
 * second insert cannot commit, trying again after a loss is safe.
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
    let sent = false;
    while (clock.now() < deadline) {
      const taken = yield* Place.take(this.context, 'write', deadline);
      if (taken.isErr) {
        const diagnostic = sent ? unknownError() : notRunError(taken.error);
        return this.fail(diagnostic);
      }
      sent = true;
      const attempt = yield* this.attempt(taken.value, deadline);
      if (attempt.kind === 'failed') return this.fail(attempt.diagnostic);
      if (attempt.kind === 'answered') return this.answer(attempt.bytes);
      yield* pause(RETRY_MS);
    }
    this.fail(unknownError());
  }

  private *attempt(place: Place, deadline: number): Task<Attempt> {
    const patience = Math.max(0, deadline - this.context.clock.now());
    const gone = this.context.connection.closedSignal;
    // A target that never answers must not hold the caller past its deadline.
    const stopTimer = after(gone, patience, () => place.connection.destroy());
    const prepared = yield* place.prepare();
    const attempt = prepared
      ? yield* this.transact(place, deadline)
      : ({kind: 'try again'} as const);
    stopTimer();
    yield* place.release(!place.connection.isClosed);
    return attempt;
  }

  private *transact(place: Place, deadline: number): Task<Attempt> {
    const {connection} = place;
    const key = quoteLiteral(this.key);
    const begun = yield* runOwnQuery(
      connection,
      `BEGIN; INSERT INTO ${TABLE} (key, answer) VALUES (${key}, '')`,
    );
    if (!succeeded(begun)) {
      return yield* this.afterNoKey(place, begun, deadline);
    }
    const sink = new AnswerBuffer();
    const end = yield* this.runBatch(place, sink);
    if (end.status === undefined) return {kind: 'try again'};
    if (end.error) return yield* this.undo(place, end.error);
    if (sink.isTooLong) return yield* this.undo(place, answerTooLong());
    const answer = quoteLiteral(sink.bytes.toString('base64'));
    const ended = yield* runOwnQuery(
      connection,
      `UPDATE ${TABLE} SET answer = ${answer} WHERE key = ${key}; COMMIT`,
    );
    return yield* this.afterCommit(ended, sink.bytes, deadline);
  }

  /** The key could not be inserted: it is taken, or its table is missing. */
  private *afterNoKey(
    place: Place,
    begun: OwnAnswer,
    deadline: number,
  ): Task<Attempt> {
    const code = begun.end.error?.code;
    if (begun.end.status === undefined) return {kind: 'try again'};
    yield* runOwnQuery(place.connection, 'ROLLBACK');
    if (code === UNIQUE_VIOLATION) return yield* this.repeat(place, deadline);
    if (code === UNDEFINED_TABLE) {
      yield* runOwnQuery(place.connection, CREATE_TABLE);
      return {kind: 'try again'};
    }
    if (code === READ_ONLY) return {kind: 'try again'};
    return {kind: 'failed', diagnostic: begun.end.error!};
  }

  /**
   * Gives the first answer again. The update changes nothing but gives a
   * position: the first commit, too, must be on a replica before it is
   * acknowledged here.
   */
  private *repeat(place: Place, deadline: number): Task<Attempt> {
    const key = quoteLiteral(this.key);
    const found = yield* runOwnQuery(
      place.connection,
      `SELECT answer FROM ${TABLE} WHERE key = ${key}`,
    );
    const [answer] = found.firstValues;
    if (!succeeded(found) || answer === undefined) return {kind: 'try again'};
    const touched = yield* runOwnQuery(
      place.connection,
      `UPDATE ${TABLE} SET answer = answer WHERE key = ${key}`,
    );
    const bytes = Buffer.from(answer, 'base64');
    return yield* this.afterCommit(touched, bytes, deadline);
  }

  private *afterCommit(
    ended: OwnAnswer,
    bytes: Buffer,
    deadline: number,
  ): Task<Attempt> {
    const {error, position} = ended.end;
    // Two requests with one key at a time: the later one meets the key.
    const lostRace =
      error?.code === UNIQUE_VIOLATION || error?.code === SERIALIZATION_FAILURE;
    if (lostRace || error?.code === READ_ONLY) return {kind: 'try again'};
    if (error) return {kind: 'failed', diagnostic: error};
    if (!position) return {kind: 'try again'};
    const {outcome, position: at} = yield* acknowledge(
      this.context,
      position,
      deadline,
    );
    if (outcome !== 'done') return {kind: 'try again'};
    this.context.state.recordPosition(at);
    return {kind: 'answered', bytes};
  }

  private *undo(place: Place, diagnostic: Diagnostic): Task<Attempt> {
    yield* runOwnQuery(place.connection, 'ROLLBACK');
    if (diagnostic.code === READ_ONLY) return {kind: 'try again'};
    return {kind: 'failed', diagnostic};
  }

  private *runBatch(place: Place, sink: AnswerSink): Task<ExchangeEnd> {
    const {connection} = place;
    const exchange = new Exchange(connection, sink, 'without ready');
    const encoder = new BatchEncoder(
      this.context.named,
      connection.preparedStatements,
    );
    exchange.send(encoder.encode(this.messages), true);
    const end = yield* exchange.wait();
    return end;
  }

  private answer(bytes: Buffer): void {
    const {connection, state} = this.context;
    const position = formatPosition(state.requiredPosition!);
    const shown = encodeParameterStatus(POSITION_VARIABLE, position);
    connection.send(Buffer.concat([bytes, shown, encodeReadyForQuery('idle')]));
  }

  private fail(diagnostic: Diagnostic): void {
    const error = encodeError(diagnostic);
    this.context.connection.send(
      Buffer.concat([error, encodeReadyForQuery('idle')]),
    );
  }
}

class AnswerBuffer implements AnswerSink {
  private readonly parts: Buffer[] = [];
  private length = 0;

  get bytes(): Buffer {
    return Buffer.concat(this.parts);
  }

  get isTooLong(): boolean {
    return this.length > MOST_ANSWER_BYTES;
  }

  send(bytes: Buffer): boolean {
    this.length += bytes.length;
    if (!this.isTooLong) this.parts.push(Buffer.from(bytes));
    return true;
  }

  caughtUp(): Promise<void> {
    return Promise.resolve();
  }
}

function answerTooLong(): Diagnostic {
  return {
    severity: 'ERROR',
    code: '54000',
    message: `not run: the answer of a write with a request key has at most ${MOST_ANSWER_BYTES} bytes`,
  };
}

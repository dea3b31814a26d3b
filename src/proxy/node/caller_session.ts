import type {Task} from '../../base/node/task';
import {after} from '../../base/node/timers';
import type {StatementClass} from '../../services/sql/common/classifier';
import {
  encodeError,
  encodeReadyForQuery,
  type Diagnostic,
} from '../../services/wire/common/backend';
import type {Frame} from '../../services/wire/common/frames';
import {decodeFrontend} from '../../services/wire/common/frontend';
import type {
  ConnectionEvent,
  ConnectionInput,
} from '../../services/wire/node/frame_connection';
import {noteNames, planBatch, type BatchMessage} from '../common/batch';
import {
  fatal,
  NOT_RUN_SHUTTING_DOWN,
  unsupportedError,
} from '../common/diagnostics';
import {BatchRunner} from './batch_runner';
import {KeyedWrite} from './keyed_write';
import {encodeLocalAnswer, runLocally} from './local_statement';
import type {SessionContext} from './session_context';

const PROTOCOL_VIOLATION = '08P01';
const IDLE_TRANSACTION = '25P03';
/** The longest batch without a Sync. */
const MOST_BATCH_BYTES = 64 * 1024 * 1024;

/** The task of one caller's session. */
export class CallerSession {
  private readonly runner: BatchRunner;
  private batch: BatchMessage[] = [];
  private batchBytes = 0;
  private skipToSync = false;
  private stopping = false;
  private busy = false;
  private stopIdleTimer = () => {};

  constructor(
    private readonly context: SessionContext,
    private readonly idleTransactionMs: () => number,
  ) {
    this.runner = new BatchRunner(context);
  }

  /** Nothing of the caller's is in progress. */
  get isIdle(): boolean {
    return !this.busy && !this.runner.inTransaction;
  }

  /** Ends the session as soon as nothing is in progress. */
  stop(): void {
    this.context.connection.notify('stop');
  }

  cancel(): void {
    this.runner.cancel();
  }

  *run(): Task<void> {
    const {connection} = this.context;
    for (;;) {
      this.watchIdleTransaction();
      const incoming = yield* connection.receive();
      this.stopIdleTimer();
      if (!incoming) break;
      this.busy = true;
      const goesOn = yield* this.handle(incoming);
      this.busy = false;
      if (!goesOn || this.shouldStop()) break;
      yield* connection.waitForDrain();
    }
    yield* this.runner.abandon();
    if (this.stopping) {
      const message = 'the proxy is shutting down; connect again';
      connection.end(encodeError(fatal('57P01', message)));
    } else {
      connection.end();
    }
  }

  private shouldStop(): boolean {
    const idle = !this.runner.inTransaction && this.batch.length === 0;
    return this.stopping && idle;
  }

  private *handle(incoming: ConnectionInput): Task<boolean> {
    switch (incoming.kind) {
      case 'frame':
        return yield* this.onFrame(incoming.frame);
      case 'event':
        return yield* this.onEvent(incoming.event);
      case 'error':
        return this.endWith(fatal(PROTOCOL_VIOLATION, incoming.reason));
      default:
        return this.endWith(fatal(PROTOCOL_VIOLATION, 'second startup'));
    }
  }

  private *onEvent(event: ConnectionEvent): Task<boolean> {
    if (event === 'stop') {
      this.stopping = true;
      return true;
    }
    const message = 'the transaction was idle while others waited';
    yield* this.runner.abandon();
    return this.endWith(fatal(IDLE_TRANSACTION, message));
  }

  private endWith(diagnostic: Diagnostic): boolean {
    this.context.connection.send(encodeError(diagnostic));
    return false;
  }

  private *onFrame(frame: Frame): Task<boolean> {
    const message = decodeFrontend(frame);
    if (!message || message.kind === 'other') {
      const reason = `message of type ${frame.type} is broken or unexpected`;
      return this.endWith(fatal(PROTOCOL_VIOLATION, reason));
    }
    if (message.kind === 'terminate') return false;
    noteNames(message, this.context.named);
    if (message.kind === 'query') {
      yield* this.runBatch([{message, frame}]);
      return true;
    }
    if (message.kind === 'sync') {
      yield* this.onSync({message, frame});
      return true;
    }
    if (this.skipToSync) return true;
    this.batchBytes += frame.bytes.length;
    if (this.batchBytes > MOST_BATCH_BYTES) {
      return this.endWith(fatal(PROTOCOL_VIOLATION, 'batch without a Sync'));
    }
    // The frame's bytes are the socket's; what is kept is copied.
    const kept = {type: frame.type, bytes: Buffer.from(frame.bytes)};
    this.batch.push({message: decodeFrontend(kept)!, frame: kept});
    if (message.kind === 'flush') yield* this.runPart();
    return true;
  }

  private *onSync(sync: BatchMessage): Task<void> {
    const messages = [...this.batch, sync];
    const skipped = this.skipToSync;
    this.batch = [];
    this.batchBytes = 0;
    this.skipToSync = false;
    if (skipped) {
      // The error went out when it was found; the batch ends here.
      const status = this.runner.inTransaction ? 'open' : 'idle';
      this.context.connection.send(encodeReadyForQuery(status));
      return;
    }
    const isEmpty = messages.length === 1 && !this.runner.isPartial;
    if (isEmpty && !this.runner.inTransaction) {
      this.context.connection.send(encodeReadyForQuery('idle'));
      return;
    }
    yield* this.runBatch(messages);
  }

  /** A Flush: the caller wants answers before it sends its Sync. */
  private *runPart(): Task<void> {
    const messages = this.batch;
    this.batch = [];
    const {named, classifier} = this.context;
    const plan = planBatch(messages, named, classifier);
    const refusal = plan.unsupported
      ? unsupportedError(plan.unsupported)
      : yield* this.runner.runPart(messages, plan);
    if (!refusal) return;
    this.context.connection.send(encodeError(refusal));
    this.skipToSync = true;
  }

  private *runBatch(messages: readonly BatchMessage[]): Task<void> {
    const {named, classifier, clock, meter} = this.context;
    const startedAt = clock.now();
    const plan = planBatch(messages, named, classifier);
    if (plan.unsupported) {
      return this.refuse(unsupportedError(plan.unsupported));
    }
    if (this.stopping && this.isAtStart()) {
      const message = 'not run: the proxy is shutting down';
      const code = NOT_RUN_SHUTTING_DOWN;
      return this.refuse({severity: 'ERROR', code, message});
    }
    if (this.isAtStart()) {
      const [statement] = plan.statements;
      const single = plan.statements.every(({kind}) => {
        return kind === statement?.kind;
      });
      if (statement && single && this.answerLocally(messages, statement)) {
        return;
      }
      if (this.takesKey(plan.isRead, plan.statements)) {
        return yield* this.runKeyed(messages);
      }
    }
    const refused = this.refusedSetting(plan.statements);
    if (refused) return this.refuse(unsupportedError(refused));
    const succeeded = yield* this.runner.run(messages, plan);
    if (succeeded) this.rememberSettings(messages, plan.statements);
    const {requestClass} = this.context.state;
    meter.record(requestClass, 'whole', clock.now() - startedAt);
  }

  private isAtStart(): boolean {
    return !this.runner.inTransaction && !this.runner.isPartial;
  }

  private answerLocally(
    messages: readonly BatchMessage[],
    statement: StatementClass,
  ): boolean {
    const {state, connection} = this.context;
    const classes = new Set(this.context.classes().keys());
    const answer = runLocally(statement, state, classes);
    if (!answer) return false;
    connection.send(encodeLocalAnswer(messages, answer));
    return true;
  }

  private takesKey(
    isRead: boolean,
    statements: readonly StatementClass[],
  ): boolean {
    if (!this.context.state.writeKey || isRead) return false;
    return statements.every(({kind}) => kind === 'write');
  }

  private *runKeyed(messages: readonly BatchMessage[]): Task<void> {
    const {state} = this.context;
    const key = state.writeKey!;
    state.writeKey = undefined;
    yield* new KeyedWrite(this.context, key, messages).run();
  }

  /** A setting of the session that could not be kept for later places. */
  private refusedSetting(
    statements: readonly StatementClass[],
  ): string | undefined {
    const setting = statements.find(statement => {
      return statement.kind === 'set' && !statement.local;
    });
    if (setting?.kind !== 'set') return undefined;
    if (!this.isAtStart()) return 'SET inside a transaction (SET LOCAL is)';
    if (statements.length > 2) return 'SET beside other statements';
    const {state} = this.context;
    return state.canSaveSetting(setting.name) ? undefined : 'one more SET';
  }

  /** Keeps a SET for the session's later places. */
  private rememberSettings(
    messages: readonly BatchMessage[],
    statements: readonly StatementClass[],
  ): void {
    const [statement] = statements;
    if (statement?.kind !== 'set' || statement.local) return;
    const text = messages
      .map(({message}) => ('text' in message ? message.text : ''))
      .join('');
    const kept = statement.value === undefined ? undefined : text;
    this.context.state.saveSetting(statement.name, kept);
  }

  private refuse(diagnostic: Diagnostic): void {
    const status = this.runner.inTransaction ? 'open' : 'idle';
    const parts = [encodeError(diagnostic), encodeReadyForQuery(status)];
    this.context.connection.send(Buffer.concat(parts));
  }

  private watchIdleTransaction(): void {
    if (!this.runner.inTransaction) return;
    const {connection, router} = this.context;
    this.stopIdleTimer = after(
      connection.closedSignal,
      this.idleTransactionMs(),
      () => {
        if (router.queued > 0) connection.notify('idle too long');
        else this.watchIdleTransaction();
      },
    );
  }
}

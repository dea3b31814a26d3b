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
import {updateStatements, planBatch, type BatchMessage} from '../common/batch';
import {
  fatalError,
  NOT_RUN_SHUTTING_DOWN,
  unsupportedError,
} from '../common/diagnostics';
import {BatchRunner} from './batch_runner';
import {KeyedWrite} from './keyed_write';
import {encodeLocalResult, runLocally} from './local_statement';
import type {SessionContext} from './session_context';

const PROTOCOL_VIOLATION = '08P01';
const IDLE_IN_TRANSACTION_TIMEOUT = '25P03';
/** Of the messages between two Syncs. */
const MAX_BATCH_BYTES = 64 * 1024 * 1024;

/** The task of one caller's session, which handles its messages in order. */
export class CallerSession {
  private readonly runner: BatchRunner;
  private batch: BatchMessage[] = [];
  private batchBytes = 0;
  private isSkippingToSync = false;
  private isStopping = false;
  private isBusy = false;
  private stopIdleTimer = () => {};

  constructor(
    private readonly context: SessionContext,
    private readonly idleTransactionMs: () => number,
  ) {
    this.runner = new BatchRunner(context);
  }

  /** Whether no batch is running and no transaction is open. */
  get isIdle(): boolean {
    return !this.isBusy && !this.runner.inTransaction;
  }

  /** Ends the session once no transaction or batch is in progress. */
  stop(): void {
    this.context.connection.notify('stop');
  }

  /** Cancels the running batch, as a CancelRequest asks for. */
  cancel(): void {
    this.runner.cancel();
  }

  *run(): Task<void> {
    const {connection} = this.context;
    for (;;) {
      this.startIdleTimer();
      const incoming = yield* connection.receive();
      this.stopIdleTimer();
      if (!incoming) break;
      this.isBusy = true;
      const shouldContinue = yield* this.handle(incoming);
      this.isBusy = false;
      if (!shouldContinue || this.shouldStop()) break;
      yield* connection.waitForDrain();
    }
    yield* this.runner.abort();
    if (this.isStopping) {
      const message = 'the proxy is shutting down; connect again';
      connection.end(encodeError(fatalError('57P01', message)));
    } else {
      connection.end();
    }
  }

  private shouldStop(): boolean {
    const isIdle = !this.runner.inTransaction && this.batch.length === 0;
    return this.isStopping && isIdle;
  }

  private *handle(incoming: ConnectionInput): Task<boolean> {
    switch (incoming.kind) {
      case 'frame':
        return yield* this.onFrame(incoming.frame);
      case 'event':
        return yield* this.onEvent(incoming.event);
      case 'error':
        return this.endWith(fatalError(PROTOCOL_VIOLATION, incoming.reason));
      default:
        return this.endWith(fatalError(PROTOCOL_VIOLATION, 'second startup'));
    }
  }

  private *onEvent(event: ConnectionEvent): Task<boolean> {
    if (event === 'stop') {
      this.isStopping = true;
      return true;
    }
    const message = 'the transaction was idle while others waited';
    yield* this.runner.abort();
    return this.endWith(fatalError(IDLE_IN_TRANSACTION_TIMEOUT, message));
  }

  private endWith(diagnostic: Diagnostic): boolean {
    this.context.connection.send(encodeError(diagnostic));
    return false;
  }

  private *onFrame(frame: Frame): Task<boolean> {
    const message = decodeFrontend(frame);
    if (!message || message.kind === 'other') {
      const reason = `message of type ${frame.type} is broken or unexpected`;
      return this.endWith(fatalError(PROTOCOL_VIOLATION, reason));
    }
    if (message.kind === 'terminate') return false;
    updateStatements(message, this.context.preparedStatements);
    if (message.kind === 'query') {
      yield* this.runBatch([{message, frame}]);
      return true;
    }
    if (message.kind === 'sync') {
      yield* this.onSync({message, frame});
      return true;
    }
    if (this.isSkippingToSync) return true;
    this.batchBytes += frame.bytes.length;
    if (this.batchBytes > MAX_BATCH_BYTES) {
      return this.endWith(
        fatalError(PROTOCOL_VIOLATION, 'batch without a Sync'),
      );
    }
    // The frame's bytes belong to the socket's buffer.
    const copy = {type: frame.type, bytes: Buffer.from(frame.bytes)};
    this.batch.push({message: decodeFrontend(copy)!, frame: copy});
    if (message.kind === 'flush') yield* this.onFlush();
    return true;
  }

  private *onSync(sync: BatchMessage): Task<void> {
    const messages = [...this.batch, sync];
    const wasSkipping = this.isSkippingToSync;
    this.batch = [];
    this.batchBytes = 0;
    this.isSkippingToSync = false;
    if (wasSkipping) {
      // The error was sent already; messages up to this Sync are skipped.
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

  /** Sends the messages before a Flush, whose replies the caller awaits. */
  private *onFlush(): Task<void> {
    const messages = this.batch;
    this.batch = [];
    const {preparedStatements, classifier} = this.context;
    const plan = planBatch(messages, preparedStatements, classifier);
    const error = plan.unsupported
      ? unsupportedError(plan.unsupported)
      : yield* this.runner.runPartial(messages, plan);
    if (!error) return;
    this.context.connection.send(encodeError(error));
    this.isSkippingToSync = true;
  }

  private *runBatch(messages: readonly BatchMessage[]): Task<void> {
    const {preparedStatements, classifier, clock, meter} = this.context;
    const startedAt = clock.now();
    const plan = planBatch(messages, preparedStatements, classifier);
    if (plan.unsupported) {
      return this.sendError(unsupportedError(plan.unsupported));
    }
    if (this.isStopping && this.isUnpinned()) {
      const message = 'not run: the proxy is shutting down';
      const code = NOT_RUN_SHUTTING_DOWN;
      return this.sendError({severity: 'ERROR', code, message});
    }
    if (this.isUnpinned()) {
      const [statement] = plan.statements;
      const isUniform = plan.statements.every(({kind}) => {
        return kind === statement?.kind;
      });
      if (statement && isUniform && this.replyLocally(messages, statement)) {
        return;
      }
      if (this.usesRequestKey(plan.isRead, plan.statements)) {
        return yield* this.runKeyedWrite(messages);
      }
    }
    const unsupported = this.findUnsupportedSetting(plan.statements);
    if (unsupported) return this.sendError(unsupportedError(unsupported));
    const hasSucceeded = yield* this.runner.run(messages, plan);
    if (hasSucceeded) this.saveSettings(messages, plan.statements);
    const {requestClass} = this.context.state;
    meter.record(requestClass, 'whole', clock.now() - startedAt);
  }

  /** Whether no transaction or partial batch holds a connection. */
  private isUnpinned(): boolean {
    return !this.runner.inTransaction && !this.runner.isPartial;
  }

  private replyLocally(
    messages: readonly BatchMessage[],
    statement: StatementClass,
  ): boolean {
    const {state, connection} = this.context;
    const classes = new Set(this.context.classes().keys());
    const result = runLocally(statement, state, classes);
    if (!result) return false;
    connection.send(encodeLocalResult(messages, result));
    return true;
  }

  private usesRequestKey(
    isRead: boolean,
    statements: readonly StatementClass[],
  ): boolean {
    if (!this.context.state.writeKey || isRead) return false;
    return statements.every(({kind}) => kind === 'write');
  }

  private *runKeyedWrite(messages: readonly BatchMessage[]): Task<void> {
    const {state} = this.context;
    const key = state.writeKey!;
    state.writeKey = undefined;
    yield* new KeyedWrite(this.context, key, messages).run();
  }

  /** Describes a SET that cannot be replayed on later connections. */
  private findUnsupportedSetting(
    statements: readonly StatementClass[],
  ): string | undefined {
    const setting = statements.find(statement => {
      return statement.kind === 'set' && !statement.local;
    });
    if (setting?.kind !== 'set') return undefined;
    if (!this.isUnpinned()) return 'SET inside a transaction (SET LOCAL is)';
    if (statements.length > 2) return 'SET beside other statements';
    const {state} = this.context;
    return state.canSaveSetting(setting.name) ? undefined : 'one more SET';
  }

  /** Saves a SET, to be replayed on the session's later connections. */
  private saveSettings(
    messages: readonly BatchMessage[],
    statements: readonly StatementClass[],
  ): void {
    const [statement] = statements;
    if (statement?.kind !== 'set' || statement.local) return;
    const text = messages
      .map(({message}) => ('text' in message ? message.text : ''))
      .join('');
    const savedText = statement.value === undefined ? undefined : text;
    this.context.state.saveSetting(statement.name, savedText);
  }

  private sendError(diagnostic: Diagnostic): void {
    const status = this.runner.inTransaction ? 'open' : 'idle';
    const parts = [encodeError(diagnostic), encodeReadyForQuery(status)];
    this.context.connection.send(Buffer.concat(parts));
  }

  private startIdleTimer(): void {
    if (!this.runner.inTransaction) return;
    const {connection, router} = this.context;
    this.stopIdleTimer = after(
      connection.closedSignal,
      this.idleTransactionMs(),
      () => {
        if (router.queuedCount > 0) connection.notify('idle timeout');
        else this.startIdleTimer();
      },
    );
  }
}

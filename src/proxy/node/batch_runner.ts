import {sleep, type Task} from '../../base/node/task';
import {formatPosition} from '../../services/position/common/position';
import {POSITION_VARIABLE} from '../../services/session/common/session_state';
import {
  encodeError,
  encodeNotice,
  encodeParameterStatus,
  encodeReadyForQuery,
  type Diagnostic,
} from '../../services/wire/common/backend';
import {BatchEncoder, type BatchMessage, type BatchPlan} from '../common/batch';
import {
  undoneWriteError,
  notRunError,
  readInterruptedError,
  unknownOutcomeError,
  NOT_RUN_LOST_WITH_TERM,
} from '../common/diagnostics';
import {Exchange, type ExchangeEnd} from './exchange';
import {waitForCommit, CheckedOutConnection} from './checked_out_connection';
import {classSettingsOf, type SessionContext} from './session_context';

/** read_only_sql_transaction: the target is not a primary; nothing was run. */
const READ_ONLY = '25006';
const RETRY_DELAY_MS = 15;
const WARNING = '01000';

/** Runs the batches of one session on targets and relays their replies. */
export class BatchRunner {
  /** The connection of an open transaction or partial batch. */
  private pinned: CheckedOutConnection | undefined;
  /** The connection on which a batch is running. */
  private active: CheckedOutConnection | undefined;
  private partialExchange: Exchange | undefined;
  private hasFailed = false;

  constructor(private readonly context: SessionContext) {
    // A batch whose caller is gone must not occupy a connection.
    const {closedSignal: closed} = context.connection;
    const stop = () => this.active?.connection.destroy();
    closed.addEventListener('abort', stop, {once: true});
  }

  /** Whether a transaction is open on a target. */
  get inTransaction(): boolean {
    return this.pinned !== undefined;
  }

  /** Whether a batch was sent in part, without its Sync. */
  get isPartial(): boolean {
    return this.partialExchange !== undefined;
  }

  /** Sends a cancel request for the running batch to its target. */
  cancel(): void {
    this.active?.connection.cancel();
  }

  /** Runs a batch and replies to the caller; false if it failed. */
  *run(messages: readonly BatchMessage[], plan: BatchPlan): Task<boolean> {
    this.hasFailed = false;
    yield* this.execute(messages, plan);
    return !this.hasFailed;
  }

  private *execute(
    messages: readonly BatchMessage[],
    plan: BatchPlan,
  ): Task<void> {
    if (this.pinned) return yield* this.runPinned(this.pinned, messages, plan);
    const access = plan.isRead || isReadOnlyBegin(plan) ? 'read' : 'write';
    const deadline = this.deadline();
    for (;;) {
      const result = yield* CheckedOutConnection.checkOut(
        this.context,
        access,
        deadline,
      );
      if (result.isErr) return this.sendError(notRunError(result.error));
      const shouldRetry = yield* this.attempt(
        result.value,
        messages,
        plan,
        deadline,
      );
      if (!shouldRetry) return;
      yield* sleep(RETRY_DELAY_MS);
    }
  }

  /** Sends a part of a batch ahead of its Sync; an error if it cannot. */
  *runPartial(
    messages: readonly BatchMessage[],
    plan: BatchPlan,
  ): Task<Diagnostic | undefined> {
    if (!this.pinned) {
      const access = plan.isRead ? 'read' : 'write';
      const deadline = this.deadline();
      const result = yield* CheckedOutConnection.checkOut(
        this.context,
        access,
        deadline,
      );
      if (result.isErr) return notRunError(result.error);
      this.pinned = result.value;
      if (!(yield* this.pinned.applySettings())) {
        yield* this.releaseLost();
        return undoneWriteError();
      }
    }
    const {connection} = this.pinned;
    this.partialExchange ??= new Exchange(
      connection,
      this.context.connection,
      'hold completion',
    );
    const encoder = new BatchEncoder(
      this.context.preparedStatements,
      connection.preparedStatements,
    );
    this.partialExchange.send(encoder.encode(messages), false);
    return undefined;
  }

  /** Releases the connection of an open transaction that was lost. */
  *releaseLost(): Task<void> {
    yield* this.pinned?.release(false) ?? doNothing();
    this.pinned = undefined;
    this.partialExchange = undefined;
  }

  /** Aborts an open transaction, if there is one. */
  *abort(): Task<void> {
    const checkedOut = this.pinned;
    this.pinned = undefined;
    if (!checkedOut) return;
    // The target rolls back when its connection is closed.
    checkedOut.connection.destroy();
    yield* checkedOut.release(false);
  }

  private deadline(): number {
    const {clock} = this.context;
    return clock.now() + classSettingsOf(this.context).deadlineMs;
  }

  /** Runs a batch on a new connection; true if it may be retried. */
  private *attempt(
    checkedOut: CheckedOutConnection,
    messages: readonly BatchMessage[],
    plan: BatchPlan,
    deadline: number,
  ): Task<boolean> {
    if (!(yield* checkedOut.applySettings())) {
      yield* checkedOut.release(false);
      return true;
    }
    const {checkout} = checkedOut;
    this.context.state.recordPosition(checkout.minPosition);
    // Settings of the session must not stay on the shared connection.
    const hasSet = plan.statements.some(({kind}) => kind === 'set');
    if (hasSet) checkedOut.connection.isDirty = true;
    const statementCount = checkedOut.connection.preparedStatements.size;
    const end = yield* this.exchange(checkedOut, messages, plan, deadline);
    if (
      end.error &&
      checkedOut.connection.preparedStatements.size !== statementCount
    ) {
      // A Parse may have failed, so the recorded names may be wrong.
      checkedOut.connection.isDirty = true;
    }
    if (end.status === undefined) {
      yield* checkedOut.release(false);
      return this.onTargetLost(end, plan);
    }
    const isReadOnly = end.error?.code === READ_ONLY && !end.isRelayed;
    if (isReadOnly && !plan.isRead) {
      yield* checkedOut.release(true);
      return true;
    }
    yield* this.finish(checkedOut, end, deadline);
    return false;
  }

  /** The target was lost in the middle of a batch; true to retry it. */
  private onTargetLost(end: ExchangeEnd, plan: BatchPlan): boolean {
    if (plan.isRead && !end.isRelayed) return true;
    this.sendError(
      plan.isRead ? readInterruptedError() : unknownOutcomeError(),
    );
    return false;
  }

  private *runPinned(
    checkedOut: CheckedOutConnection,
    messages: readonly BatchMessage[],
    plan: BatchPlan,
  ): Task<void> {
    const deadline = this.deadline();
    const end = yield* this.exchange(checkedOut, messages, plan, deadline);
    if (end.status === undefined) return yield* this.onTransactionLost(plan);
    yield* this.finish(checkedOut, end, deadline);
  }

  /** The target of an open transaction was lost. */
  private *onTransactionLost(plan: BatchPlan): Task<void> {
    yield* this.releaseLost();
    const hasCommit = plan.statements.some(({kind}) => kind === 'commit');
    if (hasCommit) this.sendError(unknownOutcomeError());
    else {
      // COMMIT was never sent, so the target rolls back.
      const message = 'not run: the transaction went down with its target';
      const hint = 'retry after 0 ms';
      const code = NOT_RUN_LOST_WITH_TERM;
      this.sendError({severity: 'ERROR', code, message, hint});
    }
  }

  private *exchange(
    checkedOut: CheckedOutConnection,
    messages: readonly BatchMessage[],
    plan: BatchPlan,
    deadline: number,
  ): Task<ExchangeEnd> {
    const {connection} = checkedOut;
    const isWrite = checkedOut.checkout.isOnPrimary && !plan.isRead;
    const exchange =
      this.partialExchange ??
      new Exchange(
        connection,
        this.context.connection,
        isWrite ? 'hold completion' : 'with ReadyForQuery',
      );
    this.partialExchange = undefined;
    this.warnIfStale(checkedOut);
    const encoder = new BatchEncoder(
      this.context.preparedStatements,
      connection.preparedStatements,
    );
    exchange.send(encoder.encode(messages), true);
    const timer = setTimeout(() => {
      // The target may hang: the caller gets an unknown outcome in time.
      if (!exchange.hasReply) connection.destroy();
    }, this.remainingMs(deadline));
    this.active = checkedOut;
    if (this.context.connection.closedSignal.aborted) connection.destroy();
    const end = yield* exchange.wait();
    this.active = undefined;
    clearTimeout(timer);
    return end;
  }

  private remainingMs(deadline: number): number {
    return Math.max(0, deadline - this.context.clock.now());
  }

  private warnIfStale({checkout}: CheckedOutConnection): void {
    if (checkout.reason !== 'older replica with notice') return;
    const age =
      checkout.ageMs === Infinity
        ? 'unknown'
        : `${Math.round(checkout.ageMs)} ms`;
    this.context.connection.send(
      encodeNotice({
        severity: 'WARNING',
        code: WARNING,
        message: `figures may be older than accepted: ${age}`,
      }),
    );
  }

  private *finish(
    checkedOut: CheckedOutConnection,
    end: ExchangeEnd,
    deadline: number,
  ): Task<void> {
    const {connection, state} = this.context;
    const status = end.status!;
    this.hasFailed ||= end.error !== undefined;
    const isOpen = status !== 'idle';
    this.pinned = isOpen ? checkedOut : undefined;
    // Connections are scarce: it is released before replicas confirm.
    if (!isOpen) yield* checkedOut.release(true);
    if (end.isComplete) return;
    if (!end.position) {
      connection.send(Buffer.concat([end.held, encodeReadyForQuery(status)]));
      return;
    }
    const {outcome, position} = yield* waitForCommit(
      this.context,
      end.position,
      deadline,
    );
    if (outcome === 'unknown') return this.sendError(unknownOutcomeError());
    if (outcome === 'not run') return this.sendError(undoneWriteError());
    state.recordPosition(position);
    const positionStatus = encodeParameterStatus(
      POSITION_VARIABLE,
      formatPosition(position),
    );
    connection.send(
      Buffer.concat([end.held, positionStatus, encodeReadyForQuery(status)]),
    );
  }

  private sendError(diagnostic: Diagnostic): void {
    this.hasFailed = true;
    const ready = encodeReadyForQuery('idle');
    const error = encodeError(diagnostic);
    this.context.connection.send(Buffer.concat([error, ready]));
  }
}

function isReadOnlyBegin({statements}: BatchPlan): boolean {
  const [first] = statements;
  if (first?.kind !== 'begin' || !first.readOnly) return false;
  return statements.slice(1).every(({kind}) => kind === 'read');
}

function* doNothing(): Task<void> {}

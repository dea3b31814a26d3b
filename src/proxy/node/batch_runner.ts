import {pause, type Task} from '../../base/node/task';
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
  lostError,
  notRunError,
  readInterrupted,
  unknownError,
  NOT_RUN_LOST_WITH_TERM,
} from '../common/diagnostics';
import {Exchange, type ExchangeEnd} from './exchange';
import {acknowledge, Place} from './checked_out_connection';
import {classSettingsOf, type SessionContext} from './session_context';

/** A target that is no primary says so with this, having run nothing. */
const READ_ONLY = '25006';
const RETRY_MS = 15;
const WARNING_OLDER = '01000';

/** Runs the batches of one session on targets. */
export class BatchRunner {
  private open: Place | undefined;
  /** Where a batch is running now. */
  private running: Place | undefined;
  private partial: Exchange | undefined;
  private failed = false;

  constructor(private readonly context: SessionContext) {
    // What runs for a caller that is gone would hold a place for nobody.
    const {closedSignal: closed} = context.connection;
    const stop = () => this.running?.connection.destroy();
    closed.addEventListener('abort', stop, {once: true});
  }

  /** A transaction is open on a target. */
  get inTransaction(): boolean {
    return this.open !== undefined;
  }

  /** A batch was sent in part, without its Sync. */
  get isPartial(): boolean {
    return this.partial !== undefined;
  }

  /** Asks the target to give up what it runs for this session. */
  cancel(): void {
    this.running?.connection.cancel();
  }

  /** Runs a batch and answers it; false where it ended with an error. */
  *run(messages: readonly BatchMessage[], plan: BatchPlan): Task<boolean> {
    this.failed = false;
    yield* this.runAnywhere(messages, plan);
    return !this.failed;
  }

  private *runAnywhere(
    messages: readonly BatchMessage[],
    plan: BatchPlan,
  ): Task<void> {
    if (this.open) return yield* this.runOn(this.open, messages, plan);
    const needs = plan.isRead || isReadOnlyBegin(plan) ? 'read' : 'write';
    const deadline = this.deadline();
    for (;;) {
      const taken = yield* Place.take(this.context, needs, deadline);
      if (taken.isErr) return this.refuse(notRunError(taken.error));
      const again = yield* this.attempt(taken.value, messages, plan, deadline);
      if (!again) return;
      yield* pause(RETRY_MS);
    }
  }

  /** Sends a part of a batch whose Sync has not come yet, or refuses it. */
  *runPart(
    messages: readonly BatchMessage[],
    plan: BatchPlan,
  ): Task<Diagnostic | undefined> {
    if (!this.open) {
      const needs = plan.isRead ? 'read' : 'write';
      const deadline = this.deadline();
      const taken = yield* Place.take(this.context, needs, deadline);
      if (taken.isErr) return notRunError(taken.error);
      this.open = taken.value;
      if (!(yield* this.open.prepare())) {
        yield* this.endLost();
        return lostError();
      }
    }
    const {connection} = this.open;
    this.partial ??= new Exchange(
      connection,
      this.context.connection,
      'hold the end',
    );
    const encoder = new BatchEncoder(
      this.context.named,
      connection.preparedStatements,
    );
    this.partial.send(encoder.encode(messages), false);
    return undefined;
  }

  /** The connection of an open transaction was lost while it was idle. */
  *endLost(): Task<void> {
    yield* this.open?.release(false) ?? none();
    this.open = undefined;
    this.partial = undefined;
  }

  /** Ends an open transaction whose caller is gone. */
  *abandon(): Task<void> {
    const place = this.open;
    this.open = undefined;
    if (!place) return;
    // The target rolls back what it ran when its connection goes.
    place.connection.destroy();
    yield* place.release(false);
  }

  private deadline(): number {
    const {clock} = this.context;
    return clock.now() + classSettingsOf(this.context).deadlineMs;
  }

  /** Runs a batch on a fresh place; true where it may be tried again. */
  private *attempt(
    place: Place,
    messages: readonly BatchMessage[],
    plan: BatchPlan,
    deadline: number,
  ): Task<boolean> {
    if (!(yield* place.prepare())) {
      yield* place.release(false);
      return true;
    }
    const {grant} = place;
    this.context.state.recordPosition(grant.required);
    // What the session sets is for itself: the connection is cleaned after it.
    const sets = plan.statements.some(({kind}) => kind === 'set');
    if (sets) place.connection.isDirty = true;
    const before = place.connection.preparedStatements.size;
    const end = yield* this.exchange(place, messages, plan, deadline);
    if (end.error && place.connection.preparedStatements.size !== before) {
      // A Parse may have failed: the names are not to be relied on.
      place.connection.isDirty = true;
    }
    if (end.status === undefined) {
      yield* place.release(false);
      return this.afterLoss(end, plan);
    }
    const refused = end.error?.code === READ_ONLY && !end.relayed;
    if (refused && !plan.isRead) {
      yield* place.release(true);
      return true;
    }
    yield* this.finish(place, end, deadline);
    return false;
  }

  /** What to do after a target was lost in the middle of a batch. */
  private afterLoss(end: ExchangeEnd, plan: BatchPlan): boolean {
    if (plan.isRead && !end.relayed) return true;
    this.refuse(plan.isRead ? readInterrupted() : unknownError());
    return false;
  }

  private *runOn(
    place: Place,
    messages: readonly BatchMessage[],
    plan: BatchPlan,
  ): Task<void> {
    const deadline = this.deadline();
    const end = yield* this.exchange(place, messages, plan, deadline);
    if (end.status === undefined) return yield* this.onLost(plan);
    yield* this.finish(place, end, deadline);
  }

  /** An open transaction went down with its target. */
  private *onLost(plan: BatchPlan): Task<void> {
    yield* this.endLost();
    const commits = plan.statements.some(({kind}) => kind === 'commit');
    if (commits) this.refuse(unknownError());
    else {
      // COMMIT was never sent, so the target undoes what it ran.
      const message = 'not run: the transaction went down with its target';
      const hint = 'retry after 0 ms';
      const code = NOT_RUN_LOST_WITH_TERM;
      this.refuse({severity: 'ERROR', code, message, hint});
    }
  }

  private *exchange(
    place: Place,
    messages: readonly BatchMessage[],
    plan: BatchPlan,
    deadline: number,
  ): Task<ExchangeEnd> {
    const {connection} = place;
    const mode = place.grant.onPrimary && !plan.isRead;
    const exchange =
      this.partial ??
      new Exchange(
        connection,
        this.context.connection,
        mode ? 'hold the end' : 'through',
      );
    this.partial = undefined;
    this.warnIfOlder(place);
    const encoder = new BatchEncoder(
      this.context.named,
      connection.preparedStatements,
    );
    exchange.send(encoder.encode(messages), true);
    const timer = setTimeout(() => {
      // Accepts but never answers: what it holds is given up, so that the
      // caller hears now that it is unknown.
      if (!exchange.hasAnswer) connection.destroy();
    }, this.patience(deadline));
    this.running = place;
    if (this.context.connection.closedSignal.aborted) connection.destroy();
    const end = yield* exchange.wait();
    this.running = undefined;
    clearTimeout(timer);
    return end;
  }

  private patience(deadline: number): number {
    return Math.max(0, deadline - this.context.clock.now());
  }

  private warnIfOlder({grant}: Place): void {
    if (grant.reason !== 'older replica with notice') return;
    const age =
      grant.ageMs === Infinity ? 'unknown' : `${Math.round(grant.ageMs)} ms`;
    this.context.connection.send(
      encodeNotice({
        severity: 'WARNING',
        code: WARNING_OLDER,
        message: `figures may be older than accepted: ${age}`,
      }),
    );
  }

  private *finish(
    place: Place,
    end: ExchangeEnd,
    deadline: number,
  ): Task<void> {
    const {connection, state} = this.context;
    const status = end.status!;
    this.failed ||= end.error !== undefined;
    const isOpen = status !== 'idle';
    this.open = isOpen ? place : undefined;
    // The connection is free before replicas confirm: it is scarce.
    if (!isOpen) yield* place.release(true);
    if (end.complete) return;
    if (!end.position) {
      connection.send(Buffer.concat([end.held, encodeReadyForQuery(status)]));
      return;
    }
    const {outcome, position} = yield* acknowledge(
      this.context,
      end.position,
      deadline,
    );
    if (outcome === 'unknown') return this.refuse(unknownError());
    if (outcome === 'not run') return this.refuse(lostError());
    state.recordPosition(position);
    const shown = encodeParameterStatus(
      POSITION_VARIABLE,
      formatPosition(position),
    );
    connection.send(
      Buffer.concat([end.held, shown, encodeReadyForQuery(status)]),
    );
  }

  private refuse(diagnostic: Diagnostic): void {
    this.failed = true;
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

function* none(): Task<void> {}

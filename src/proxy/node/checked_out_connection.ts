import type {Result} from '../../base/common/result';
import {PendingReply, type Task} from '../../base/node/task';
import type {CommitOutcome} from '../../services/confirmation/common/pending_commits';
import type {Position} from '../../services/position/common/position';
import type {CheckoutRefusal} from '../common/checkout_refusal';
import type {Checkout} from './checkout_request';
import {runInternalQuery, succeeded} from './internal_query';
import {describeRequest, type SessionContext} from './session_context';

/** A connection to a target that one transaction uses until its release. */
export class CheckedOutConnection {
  private isReleased = false;

  private constructor(
    private readonly context: SessionContext,
    readonly checkout: Checkout,
    private readonly startedAt: number,
  ) {}

  /** Waits for a connection, until the deadline on the monotonic clock. */
  static *checkOut(
    context: SessionContext,
    access: 'read' | 'write',
    deadline: number,
  ): Task<Result<CheckedOutConnection, CheckoutRefusal>> {
    const request = {...describeRequest(context, access), deadline};
    const reply = new PendingReply<Result<Checkout, CheckoutRefusal>>();
    const isPosted = context.router.post({
      kind: 'request',
      request: {...request, resolve: reply.resolve},
    });
    if (!isPosted) context.connection.destroy();
    const result = yield* reply.wait();
    const now = context.clock.now();
    const {meter, state} = context;
    meter.record(state.requestClass, 'queue', now - request.requestedAt);
    if (result.isErr) meter.count('not run');
    return result.map(checkout => {
      meter.count(checkout.reason);
      return new CheckedOutConnection(context, checkout, now);
    });
  }

  get connection() {
    return this.checkout.connection;
  }

  /** Replays the session's SET statements; false if that failed. */
  *applySettings(): Task<boolean> {
    const {settingStatements: statements} = this.context.state;
    if (statements.length === 0) return true;
    this.connection.isDirty = true;
    const result = yield* runInternalQuery(
      this.connection,
      statements.join(';'),
    );
    return succeeded(result);
  }

  /** Returns the connection to its pool, after a reset of session state. */
  *release(hasReplied: boolean): Task<void> {
    if (this.isReleased) return;
    this.isReleased = true;
    const {connection, instance, isOnPrimary} = this.checkout;
    const {context, startedAt} = this;
    const {meter, state, clock} = context;
    meter.record(state.requestClass, 'target', clock.now() - startedAt);
    const isClean = hasReplied && (yield* this.reset());
    context.router.post({
      kind: 'release',
      release: {
        connection,
        instance,
        isOnPrimary,
        isClean,
        hasReplied,
        startedAt,
      },
    });
  }

  private *reset(): Task<boolean> {
    const {connection} = this;
    if (connection.isClosed) return false;
    if (!connection.isDirty) return true;
    const result = yield* runInternalQuery(connection, 'DISCARD ALL');
    connection.preparedStatements.clear();
    connection.isDirty = false;
    return succeeded(result);
  }
}

/** The outcome of a commit and its position in the log that kept it. */
export interface CommitResult {
  readonly outcome: CommitOutcome;
  readonly position: Position;
}

/** Waits until the outcome of a commit is known, or for its deadline. */
export function* waitForCommit(
  context: SessionContext,
  position: Position,
  deadline: number,
): Task<CommitResult> {
  const reply = new PendingReply<CommitResult>();
  context.router.post({
    kind: 'acknowledge',
    commit: {
      position,
      deadline,
      resolve: (outcome, acknowledged) =>
        reply.resolve({outcome, position: acknowledged}),
    },
  });
  return yield* reply.wait();
}

import type {Result} from '../../base/common/outcome';
import {Reply, type Task} from '../../base/node/task';
import type {CommitOutcome} from '../../services/confirmation/common/pending_commits';
import type {Position} from '../../services/position/common/position';
import type {NotRun} from '../common/checkout_refusal';
import type {Grant} from './checkout_request';
import {runOwnQuery, succeeded} from './internal_query';
import {describeRequest, type SessionContext} from './session_context';

/** A transaction's hold on a connection of a target. */
export class Place {
  private released = false;

  private constructor(
    private readonly context: SessionContext,
    readonly grant: Grant,
    private readonly startedAt: number,
  ) {}

  /** Waits for a place; the session's settings are made there. */
  static *take(
    context: SessionContext,
    needs: 'read' | 'write',
    deadline: number,
  ): Task<Result<Place, NotRun>> {
    const request = {...describeRequest(context, needs), deadline};
    const reply = new Reply<Result<Grant, NotRun>>();
    const posted = context.router.post({
      kind: 'request',
      request: {...request, settle: reply.give},
    });
    if (!posted) context.connection.destroy();
    const answer = yield* reply.wait();
    const now = context.clock.now();
    const {meter, state} = context;
    meter.record(state.requestClass, 'queue', now - request.since);
    if (answer.isErr) meter.count('not run');
    return answer.map(grant => {
      meter.count(grant.reason);
      return new Place(context, grant, now);
    });
  }

  get connection() {
    return this.grant.connection;
  }

  /** Makes the session's settings on the connection; false where it fails. */
  *prepare(): Task<boolean> {
    const {settingStatements: replay} = this.context.state;
    if (replay.length === 0) return true;
    this.connection.isDirty = true;
    const answer = yield* runOwnQuery(this.connection, replay.join(';'));
    return succeeded(answer);
  }

  /** Gives the connection back, without anything of this session on it. */
  *release(answered: boolean): Task<void> {
    if (this.released) return;
    this.released = true;
    const {connection, instance, onPrimary} = this.grant;
    const {context, startedAt} = this;
    const {meter, state, clock} = context;
    meter.record(state.requestClass, 'target', clock.now() - startedAt);
    const clean = answered && (yield* this.clean());
    context.router.post({
      kind: 'release',
      release: {connection, instance, onPrimary, clean, answered, startedAt},
    });
  }

  private *clean(): Task<boolean> {
    const {connection} = this;
    if (connection.isClosed) return false;
    if (!connection.isDirty) return true;
    const answer = yield* runOwnQuery(connection, 'DISCARD ALL');
    connection.preparedStatements.clear();
    connection.isDirty = false;
    return succeeded(answer);
  }
}

/** What a commit came to, and the position to show for it. */
export interface Acknowledged {
  readonly outcome: CommitOutcome;
  readonly position: Position;
}

/** Waits until a commit may be acknowledged, or cannot be. */
export function* acknowledge(
  context: SessionContext,
  position: Position,
  deadline: number,
): Task<Acknowledged> {
  const reply = new Reply<Acknowledged>();
  context.router.post({
    kind: 'acknowledge',
    commit: {
      position,
      deadline,
      settle: (outcome, at) => reply.give({outcome, position: at}),
    },
  });
  return yield* reply.wait();
}

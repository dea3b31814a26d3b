import type {Result} from '../../base/common/outcome';
import {settled, type Task} from '../../base/node/task';
import type {CommitOutcome} from '../../platform/confirmation/common/commits';
import type {Position} from '../../platform/position/common/position';
import type {NotRun} from '../common/not_run';
import type {Grant} from './request';
import {runOwnQuery, succeeded} from './own_query';
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
    const answer = yield* settled(
      new Promise<Result<Grant, NotRun>>(settle => {
        const posted = context.router.post({
          kind: 'request',
          request: {...request, settle},
        });
        if (!posted) context.connection.destroy();
      }),
    );
    if ('error' in answer) throw answer.error;
    const now = context.clock.now();
    const {caller, service, meter, state} = context;
    const {requestClass} = state;
    const name = {service, caller, requestClass};
    meter.record(name, 'queue', now - request.since);
    if (answer.value.isErr) meter.count('not run');
    return answer.value.map(grant => {
      meter.count(grant.reason);
      return new Place(context, grant, now);
    });
  }

  get connection() {
    return this.grant.connection;
  }

  /** Makes the session's settings on the connection; false where it fails. */
  *prepare(): Task<boolean> {
    const {replay} = this.context.state;
    if (replay.length === 0) return true;
    this.connection.dirty = true;
    const answer = yield* runOwnQuery(this.connection, replay.join(';'));
    return succeeded(answer);
  }

  /** Gives the connection back, without anything of this session on it. */
  *release(answered: boolean): Task<void> {
    if (this.released) return;
    this.released = true;
    const {connection, instance, onPrimary} = this.grant;
    const {context, startedAt} = this;
    const {caller, service, meter, state, clock} = context;
    const {requestClass} = state;
    const took = clock.now() - startedAt;
    meter.record({service, caller, requestClass}, 'target', took);
    const clean = answered && (yield* this.clean());
    context.router.post({
      kind: 'release',
      release: {connection, instance, onPrimary, clean, answered, startedAt},
    });
  }

  private *clean(): Task<boolean> {
    const {connection} = this;
    if (connection.isClosed) return false;
    if (!connection.dirty) return true;
    const answer = yield* runOwnQuery(connection, 'DISCARD ALL');
    connection.prepared.clear();
    connection.dirty = false;
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
  const answer = yield* settled(
    new Promise<Acknowledged>(resolve => {
      context.router.post({
        kind: 'acknowledge',
        commit: {
          position,
          deadline,
          settle: (outcome, at) => resolve({outcome, position: at}),
        },
      });
    }),
  );
  if ('error' in answer) throw answer.error;
  return answer.value;
}

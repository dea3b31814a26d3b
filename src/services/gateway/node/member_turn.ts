import {after} from '../../../base/node/timers';
import {settled, type Task} from '../../../base/node/task';
import type {
  Grant,
  Observation,
  ServiceDispatcher,
} from '../../dispatch/node/service_dispatcher';
import type {
  TargetCall,
  TargetReply,
  TargetStatement,
} from '../../statement/common/statement';
import type {Clock} from '../../../base/common/clock';

/** An answer of a member, or its loss. */
export type TurnReply = TargetReply;

/** A session's hold on a connection, from its grant to its return. */
export class MemberTurn {
  private returned = false;

  constructor(
    readonly grant: Grant,
    /** How long the request waited for it, in milliseconds. */
    readonly waitedMs: number,
    private readonly dispatcher: ServiceDispatcher,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {}

  get instance(): string {
    return this.grant.pooled.instance;
  }

  /**
   * Sends calls in one go and waits for all answers, for a time at most. A
   * connection whose answer did not come in time is closed: the answer could
   * come later and be taken for the next one's.
   */
  *ask(calls: readonly TargetCall[], timeMs: number): Task<TurnReply[]> {
    const {link} = this.grant.pooled;
    const cancel = after(this.signal, Math.max(1, timeMs), () => link.close());
    const promises = link.send(calls);
    const replies: TurnReply[] = [];
    for (const promise of promises) {
      const done = yield* settled(promise);
      replies.push(
        'value' in done
          ? done.value
          : {kind: 'lost', reason: done.error.message},
      );
    }
    cancel();
    return replies;
  }

  /** Runs the system's own statements; false where one did not succeed. */
  *prepare(
    statements: readonly TargetStatement[],
    timeMs: number,
  ): Task<boolean> {
    if (statements.length === 0) return true;
    const calls = statements.map(statement => {
      return {requestId: undefined, statement};
    });
    const replies = yield* this.ask(calls, timeMs);
    return replies.every(isDone);
  }

  /** Tells the dispatcher what an answer said of the member. */
  observe(askedAt: number, reply: TurnReply, kind?: Observation['kind']): void {
    const answeredAt = this.clock.now();
    const position = reply.kind === 'answer' ? reply.position : undefined;
    this.dispatcher.post({
      kind: 'observed',
      observation: {
        instance: this.instance,
        askedAt,
        answeredAt,
        position,
        kind: kind ?? observedIn(reply),
      },
    });
  }

  /** Gives the connection back; one that is not clean is closed. */
  end(clean: boolean): void {
    if (this.returned) return;
    this.returned = true;
    const {pooled} = this.grant;
    this.dispatcher.post({kind: 'return', returned: {pooled, clean}});
  }
}

/** Whether a member ran a statement with success. */
export function isDone(reply: TurnReply | undefined): boolean {
  return reply?.kind === 'answer' && reply.result.kind === 'done';
}

/** Whether a connection is outside a transaction after an answer. */
export function isOutside(reply: TurnReply | undefined): boolean {
  return reply?.kind === 'answer' && reply.state === 'idle';
}

function observedIn(reply: TurnReply): Observation['kind'] {
  if (reply.kind === 'lost') return 'silent';
  const {result} = reply;
  if (result.kind === 'done') return 'answered';
  switch (result.failure) {
    case 'not primary':
      return 'not primary';
    case 'busy':
      return 'busy';
    default:
      return 'answered';
  }
}

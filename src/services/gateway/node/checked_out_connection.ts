import {settled, type Task} from '../../../base/node/task';
import type {
  Checkout,
  MemberObservation,
} from '../../dispatch/node/dispatcher_messages';
import type {ServiceDispatcher} from '../../dispatch/node/service_dispatcher';
import type {
  TargetCall,
  TargetReply,
  TargetStatement,
} from '../../statement/common/statement';
import type {LeaseChecks} from '../../lease/common/primary_leases';
import type {Clock} from '../../../base/common/clock';

/** An answer of a member, or its loss. */
export type MemberReply = TargetReply;

/** What a turn needs of its session. */
export interface CheckoutDependencies {
  readonly clock: Clock;
  readonly leases: LeaseChecks;
}

/** The place that a session was given. */
export interface CheckoutDetails {
  readonly grant: Checkout;
  readonly service: string;
  /** How long the request waited for it, in milliseconds. */
  readonly waitedMs: number;
  /** Work is done, and what it took at the member, in milliseconds. */
  onDidWork(workMs: number): void;
}

/** A session's hold on a connection, from its grant to its return. */
export class CheckedOutConnection {
  private returned = false;
  private workMs = 0;

  constructor(
    private readonly place: CheckoutDetails,
    private readonly dispatcher: ServiceDispatcher,
    private readonly around: CheckoutDependencies,
  ) {}

  get grant(): Checkout {
    return this.place.grant;
  }

  get waitedMs(): number {
    return this.place.waitedMs;
  }

  get instance(): string {
    return this.grant.pooled.instance;
  }

  /**
   * Sends calls in one go and waits for all answers, for a time at most. A
   * connection whose answer did not come in time is closed: the answer could
   * come later and be taken for the next one's.
   *
   * Guard: the limit holds for a caller that left too. A member that hangs
   * would else keep the connection, one of a few, for nobody.
   */
  *send(calls: readonly TargetCall[], timeMs: number): Task<MemberReply[]> {
    const {link} = this.grant.pooled;
    const {clock} = this.around;
    const askedAt = clock.now();
    // Also where the caller has left: the connection may never be free again.
    const timer = setTimeout(() => link.close(), Math.max(1, timeMs));
    const promises = link.send(calls);
    const replies: MemberReply[] = [];
    for (const promise of promises) {
      const done = yield* settled(promise);
      replies.push(
        'value' in done
          ? done.value
          : {kind: 'lost', reason: done.error.message},
      );
    }
    clearTimeout(timer);
    this.workMs += clock.now() - askedAt;
    return replies;
  }

  /** Runs the system's own statements; false where one did not succeed. */
  *runPrelude(
    statements: readonly TargetStatement[],
    timeMs: number,
  ): Task<boolean> {
    if (statements.length === 0) return true;
    const calls = statements.map(statement => {
      return {requestId: undefined, statement};
    });
    const replies = yield* this.send(calls, timeMs);
    return replies.every(isDone);
  }

  /**
   * Whether the member cannot have been replaced before now, after waiting for
   * a lease that ran out for a time at most. Asked once an answer has come:
   * then it held while the answer was made, whatever froze in between.
   */
  *confirmPrimary(
    timeMs: number,
    answer: MemberReply | undefined,
  ): Task<boolean> {
    const {leases} = this.around;
    const {service} = this.place;
    const {epoch} = this.grant;
    if (leases.isHeld(service, epoch)) return true;
    const at = answer?.kind === 'answer' ? answer.position : undefined;
    const done = yield* settled(
      leases.waitUntilHeld(service, epoch, timeMs, at?.term),
    );
    return 'value' in done && done.value;
  }

  /** Tells the dispatcher what an answer said of the member. */
  reportObservation(
    askedAt: number,
    reply: MemberReply,
    kind?: MemberObservation['kind'],
  ): void {
    const answeredAt = this.around.clock.now();
    const position = reply.kind === 'answer' ? reply.position : undefined;
    this.dispatcher.post({
      kind: 'observed',
      observation: {
        instance: this.instance,
        epoch: this.grant.epoch,
        askedAt,
        answeredAt,
        position,
        kind: kind ?? observedIn(reply),
      },
    });
  }

  /** Gives the connection back; one that is not clean is closed. */
  release(clean: boolean): void {
    if (this.returned) return;
    this.returned = true;
    // What did not end cleanly says nothing of how long such work takes.
    if (clean && this.workMs > 0) this.place.onDidWork(this.workMs);
    const {pooled} = this.grant;
    this.dispatcher.post({kind: 'return', returned: {pooled, isClean: clean}});
  }
}

/** Whether a member ran a statement with success. */
export function isDone(reply: MemberReply | undefined): boolean {
  return reply?.kind === 'answer' && reply.result.kind === 'done';
}

/** Whether a connection is outside a transaction after an answer. */
export function isOutsideTransaction(reply: MemberReply | undefined): boolean {
  return reply?.kind === 'answer' && reply.state === 'idle';
}

function observedIn(reply: MemberReply): MemberObservation['kind'] {
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

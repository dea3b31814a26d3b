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

/** The reply of a member, or the reason why there is none. */
export type MemberReply = TargetReply;

/** What a checked-out connection uses of its session. */
export interface CheckoutDependencies {
  readonly clock: Clock;
  readonly leases: LeaseChecks;
}

/** The record of one checkout. */
export interface CheckoutDetails {
  readonly checkout: Checkout;
  readonly service: string;
  /** Time in the queue, in milliseconds. */
  readonly waitedMs: number;
  /** Called after a clean release with the member's time, in milliseconds. */
  onDidWork(workMs: number): void;
}

/** A pooled connection that a session holds from checkout to release. */
export class CheckedOutConnection {
  private isReleased = false;
  private workMs = 0;

  constructor(
    private readonly details: CheckoutDetails,
    private readonly dispatcher: ServiceDispatcher,
    private readonly dependencies: CheckoutDependencies,
  ) {}

  get checkout(): Checkout {
    return this.details.checkout;
  }

  get waitedMs(): number {
    return this.details.waitedMs;
  }

  get instance(): string {
    return this.checkout.pooled.instance;
  }

  /**
   * Pipelines calls and waits for all replies. Closes the connection on a
   * timeout, since a late reply would be taken for that of the next call.
   *
   * Guard: the timeout applies even after the caller disconnected. Otherwise a
   * member that hangs would hold the connection for good.
   */
  *send(calls: readonly TargetCall[], timeoutMs: number): Task<MemberReply[]> {
    const {link} = this.checkout.pooled;
    const {clock} = this.dependencies;
    const sentAt = clock.now();
    // Not tied to the caller: the connection must be freed in any case.
    const timer = setTimeout(() => link.close(), Math.max(1, timeoutMs));
    const promises = link.send(calls);
    const replies: MemberReply[] = [];
    for (const promise of promises) {
      const outcome = yield* settled(promise);
      replies.push(
        'value' in outcome
          ? outcome.value
          : {kind: 'lost', reason: outcome.error.message},
      );
    }
    clearTimeout(timer);
    this.workMs += clock.now() - sentAt;
    return replies;
  }

  /** Runs the proxy's own statements; false if one of them fails. */
  *runPrelude(
    statements: readonly TargetStatement[],
    timeoutMs: number,
  ): Task<boolean> {
    if (statements.length === 0) return true;
    const calls = statements.map(statement => {
      return {requestId: undefined, statement};
    });
    const replies = yield* this.send(calls, timeoutMs);
    return replies.every(isDone);
  }

  /**
   * Whether the member is certain to be still the primary; waits for an expired
   * lease to be renewed. Called after the reply arrived: a lease that is held
   * then was also held while the reply was made, even if a process was paused.
   */
  *confirmPrimary(
    timeoutMs: number,
    reply: MemberReply | undefined,
  ): Task<boolean> {
    const {leases} = this.dependencies;
    const {service} = this.details;
    const {epoch} = this.checkout;
    if (leases.isHeld(service, epoch)) return true;
    const position = reply?.kind === 'answer' ? reply.position : undefined;
    const outcome = yield* settled(
      leases.waitUntilHeld(service, epoch, timeoutMs, position?.term),
    );
    return 'value' in outcome && outcome.value;
  }

  /** Reports to the dispatcher what a reply shows about the member. */
  reportObservation(
    sentAt: number,
    reply: MemberReply,
    kind?: MemberObservation['kind'],
  ): void {
    const receivedAt = this.dependencies.clock.now();
    const position = reply.kind === 'answer' ? reply.position : undefined;
    this.dispatcher.post({
      kind: 'observed',
      observation: {
        instance: this.instance,
        epoch: this.checkout.epoch,
        requestedAt: sentAt,
        receivedAt,
        position,
        kind: kind ?? observationKindOf(reply),
      },
    });
  }

  /** Returns the connection to the pool, which closes it if it is not clean. */
  release(isClean: boolean): void {
    if (this.isReleased) return;
    this.isReleased = true;
    // Work that failed would distort the estimate of the service time.
    if (isClean && this.workMs > 0) this.details.onDidWork(this.workMs);
    const {pooled} = this.checkout;
    this.dispatcher.post({
      kind: 'release',
      released: {pooled, isClean: isClean},
    });
  }
}

/** Whether the statement succeeded. */
export function isDone(reply: MemberReply | undefined): boolean {
  return reply?.kind === 'answer' && reply.result.kind === 'done';
}

/** Whether the connection is outside a transaction after the reply. */
export function isOutsideTransaction(reply: MemberReply | undefined): boolean {
  return reply?.kind === 'answer' && reply.state === 'idle';
}

function observationKindOf(reply: MemberReply): MemberObservation['kind'] {
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

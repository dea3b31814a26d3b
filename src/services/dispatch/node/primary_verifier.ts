import type {Clock} from '../../../base/common/clock';
import {detach} from '../../../base/node/broken_invariant';
import type {Log} from '../../../base/node/log';
import type {
  MemberStatus,
  StatusReader,
} from '../../target_link/common/member_status';
import {verifyPrimary, type MemberStatusReply} from '../common/verify_primary';
import type {PooledConnection} from './member_pool';

/** A pending request to verify that a member was not replaced. */
export interface PendingVerification {
  readonly epoch: number;
  /** The term of the member's log in the reply to be verified. */
  readonly term: number;
  readonly deadline: number;
  resolve(isVerified: boolean): void;
}

/** The connections that verification rounds use. */
export interface VerificationConnections {
  /** All members of the service. */
  instances(): readonly string[];
  /** An idle connection; if there is none, one is opened for the next round. */
  checkOut(instance: string): PooledConnection | undefined;
  release(pooled: PooledConnection, isClean: boolean): void;
}

/** A member that was verified to be primary when the round began. */
export interface VerifiedPrimary {
  readonly instance: string;
  readonly epoch: number;
  readonly askedAt: number;
  readonly status: MemberStatus;
}

/** Bounds the load of status requests on the members' slots. */
const ROUND_INTERVAL_MS = 100;
/** The first round may fail while connections are being opened. */
const MAX_FAILURE_COUNT = 2;
/** How long the result of failed rounds counts. */
const FAILURE_VALID_MS = 1_000;
const REPLY_TIMEOUT_MS = 300;

/**
 * Verifies the primary of a service by the status of all its members while
 * control cannot be reached. An instance that is partitioned from control can
 * thus serve the members that it reaches after its leases have expired.
 */
export class PrimaryVerifier {
  private pendingRequests: PendingVerification[] = [];
  private isRunning = false;
  private startedAt = -Infinity;
  private verifiedAt = -Infinity;
  private failureCount = 0;
  private loggedMessage = '';

  constructor(
    private readonly service: string,
    private readonly reader: StatusReader,
    private readonly connections: VerificationConnections,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly onDidVerify: (primary: VerifiedPrimary) => void,
  ) {}

  /** When the last successful round began; -Infinity before the first. */
  get lastVerifiedAt(): number {
    return this.verifiedAt;
  }

  /** Whether recent rounds failed. */
  get isFailing(): boolean {
    const isRecent = this.clock.now() - this.startedAt < FAILURE_VALID_MS;
    return isRecent && this.failureCount >= MAX_FAILURE_COUNT;
  }

  add(request: PendingVerification): void {
    this.pendingRequests.push(request);
  }

  /** Times out requests, and starts a round if one is needed and due. */
  update(
    primary: {instance: string; epoch: number},
    isRequired: boolean,
  ): void {
    const now = this.clock.now();
    const expired = this.pendingRequests.filter(({deadline, epoch}) => {
      return deadline <= now || epoch !== primary.epoch;
    });
    this.pendingRequests = this.pendingRequests.filter(
      request => !expired.includes(request),
    );
    for (const request of expired) request.resolve(false);
    if (!isRequired && this.pendingRequests.length === 0) return;
    if (this.isRunning || now - this.startedAt < ROUND_INTERVAL_MS) return;
    this.startRound(primary, now);
  }

  /** Fails all pending requests. */
  cancelAll(): void {
    for (const entry of this.pendingRequests.splice(0)) entry.resolve(false);
  }

  private startRound(
    {instance, epoch}: {instance: string; epoch: number},
    now: number,
  ): void {
    const checkedOut = this.connections
      .instances()
      .map(memberInstance => this.connections.checkOut(memberInstance));
    const connections = checkedOut.filter(link => link !== undefined);
    this.startedAt = now;
    if (connections.length < checkedOut.length) {
      this.failureCount++;
      for (const pooled of connections) this.connections.release(pooled, true);
      return;
    }
    this.isRunning = true;
    const pending = [...this.pendingRequests];
    detach(
      'verification of a primary',
      Promise.all(connections.map(pooled => this.requestStatus(pooled))).then(
        replies => {
          this.isRunning = false;
          const status = verifyPrimary(instance, replies);
          this.logOutcome(instance, replies, status !== undefined);
          this.failureCount = status ? 0 : this.failureCount + 1;
          if (!status) return;
          this.verifiedAt = now;
          this.onDidVerify({instance, epoch, askedAt: now, status});
          this.resolve(pending, status.term);
        },
      ),
    );
  }

  /** Verifies requests from before the round and in the same term only. */
  private resolve(
    candidates: readonly PendingVerification[],
    term: number,
  ): void {
    const verified = candidates.filter(request => {
      return request.term === term && this.pendingRequests.includes(request);
    });
    this.pendingRequests = this.pendingRequests.filter(
      request => !verified.includes(request),
    );
    for (const request of verified) request.resolve(true);
  }

  private async requestStatus(
    pooled: PooledConnection,
  ): Promise<MemberStatusReply> {
    const {link, instance} = pooled;
    const timer = setTimeout(() => link.close(), REPLY_TIMEOUT_MS);
    const [promise] = link.send([
      {requestId: undefined, statement: {kind: 'status'}},
    ]);
    const reply = await promise!;
    clearTimeout(timer);
    const isReply = reply.kind === 'answer';
    this.connections.release(pooled, isReply && reply.state === 'idle');
    const status = isReply ? this.reader.read(reply.result) : undefined;
    return {instance, status};
  }

  /** Logs when verification begins to succeed or to fail. */
  private logOutcome(
    instance: string,
    replies: readonly MemberStatusReply[],
    isVerified: boolean,
  ): void {
    const message = isVerified
      ? 'The members verify the primary.'
      : 'The members do not verify the primary.';
    if (message === this.loggedMessage) return;
    this.loggedMessage = message;
    const answers = replies.map(describe).join(' ');
    this.log.info(message, {service: this.service, instance, answers});
  }
}

function describe({instance, status}: MemberStatusReply): string {
  if (!status) return `${instance}:silent`;
  const {isPrimary, term, stoppedTerm} = status;
  const stopped = stoppedTerm > 0 ? `:stopped at ${stoppedTerm}` : '';
  return `${instance}:${isPrimary ? 'primary' : 'replica'}:${term}${stopped}`;
}

import {setTimeout} from 'node:timers/promises';
import type {Clock} from '../../../base/common/clock';
import {detach} from '../../../base/node/broken_invariant';
import {after, every} from '../../../base/node/timers';
import type {Member} from '../../../schema/generated/fleet';
import {laterPosition, type Position} from '../../position/common/position';
import type {
  TargetReply,
  TargetStatement,
} from '../../statement/common/statement';
import type {
  MemberStatus,
  StatusReader,
} from '../../target_link/common/member_status';
import {
  SHARED_USER,
  type ConnectFailure,
  type TargetConnector,
  type TargetLink,
} from '../../target_link/common/target_link';

const PING_INTERVAL_MS = 250;
/**
 * Bounds the processor time that pings take from a control instance. With many
 * members each is pinged less often, and failure reports of proxies come first.
 */
const MAX_PINGS_PER_SECOND = 600;

/** Interval between pings of one member, by the number of all members. */
export function pingIntervalMs(memberCount: number): number {
  return Math.max(
    PING_INTERVAL_MS,
    (memberCount * 1_000) / MAX_PINGS_PER_SECOND,
  );
}
const CONNECT_TIMEOUT_MS = 500;
/** The connection is closed if a reply takes longer. */
const REPLY_TIMEOUT_MS = 600;
/** Delay before a command is retried at a member without a free slot. */
const BUSY_RETRY_DELAY_MS = 25;
const COMMAND_RETRY_TIMEOUT_MS = 700;

/**
 * Control's own connection to one member, which checks that the member replies
 * and sends commands to it. Pings take no slot of the member.
 */
export class MemberMonitor {
  private link: TargetLink | undefined;
  private isConnecting = false;
  private isPinging = false;
  private lastReplyAt: number;
  private lastPingAt = -Infinity;
  /** When the oldest pending ping or connection attempt began. */
  private unansweredSince: number | undefined;
  private isRefused = false;
  private highestTerm = 0;
  private highestPosition: Position | undefined;
  private hasBeenReplaced = false;
  private connectCount = 0;
  private connectedAt = -Infinity;

  constructor(
    readonly member: Member,
    private readonly connector: TargetConnector,
    private readonly reader: StatusReader,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
    private readonly intervalMs = () => PING_INTERVAL_MS,
  ) {
    this.lastReplyAt = clock.now();
    this.unansweredSince = this.lastReplyAt;
    every(signal, PING_INTERVAL_MS, () => this.ping());
    signal.addEventListener('abort', () => this.link?.close(), {once: true});
    this.connect();
  }

  /**
   * Time since the last reply, in milliseconds. Time without a pending ping
   * counts as at most one interval: a member that is pinged less often is not
   * silent in between.
   */
  get silentMs(): number {
    const now = this.clock.now();
    const unansweredMs = now - (this.unansweredSince ?? now);
    return Math.min(now - this.lastReplyAt, unansweredMs + PING_INTERVAL_MS);
  }

  /** Whether it has refused a connection since its last reply. */
  get isRefusing(): boolean {
    return this.isRefused;
  }

  /** How often a connection was opened. */
  get connectionNumber(): number {
    return this.connectCount;
  }

  /** When the last reconnect succeeded; -Infinity before the first one. */
  get reconnectedAt(): number {
    return this.connectCount > 1 ? this.connectedAt : -Infinity;
  }

  /** Whether another member uses its address, so that it has ended. */
  get isReplaced(): boolean {
    return this.hasBeenReplaced;
  }

  /** The highest position that it reported. */
  get lastPosition(): Position | undefined {
    return this.highestPosition;
  }

  /** The highest term seen in its log. */
  get term(): number {
    return this.highestTerm;
  }

  /**
   * Sends a command. Returns the member's status after it, or undefined if none
   * came in time.
   *
   * Commands take a slot, and members are busiest when their service has lost
   * its primary. A busy member is retried, so that a promotion need not wait
   * for the next check of the whole service.
   *
   * Guard: a command that lets a replica receive is not retried. It could follow
   * one that stopped the replica for a promotion.
   */
  async sendCommand(
    command: TargetStatement,
  ): Promise<MemberStatus | undefined> {
    const retryUntil = this.clock.now() + COMMAND_RETRY_TIMEOUT_MS;
    for (;;) {
      const reply = await this.sendStatement(command);
      if (reply?.kind !== 'answer') return undefined;
      const status = this.reader.read(reply.result);
      if (status) {
        this.highestTerm = Math.max(this.highestTerm, status.term);
        this.recordPosition(status.receivedPosition);
        return status;
      }
      const isRetryable = command.kind !== 'resume';
      if (!isRetryable || this.clock.now() >= retryUntil) return undefined;
      await setTimeout(BUSY_RETRY_DELAY_MS);
    }
  }

  private ping(): void {
    if (!this.link) return this.connect();
    const now = this.clock.now();
    // Timers fire a few milliseconds early or late.
    const isDue =
      now - this.lastPingAt >= this.intervalMs() - PING_INTERVAL_MS / 2;
    if (this.isPinging || !isDue) return;
    this.isPinging = true;
    this.lastPingAt = now;
    this.unansweredSince ??= now;
    detach(
      'reset of a member',
      this.sendStatement({kind: 'reset'}).then(() => (this.isPinging = false)),
    );
  }

  private async sendStatement(
    statement: TargetStatement,
  ): Promise<TargetReply | undefined> {
    const {link} = this;
    if (!link) return undefined;
    const cancel = after(this.signal, REPLY_TIMEOUT_MS, () => link.close());
    const [promise] = link.send([{requestId: undefined, statement}]);
    const reply = await promise!;
    cancel();
    if (reply.kind === 'answer') this.onReply(reply.position);
    return reply;
  }

  private onReply(position: Position | undefined): void {
    this.lastReplyAt = this.clock.now();
    this.unansweredSince = undefined;
    this.isRefused = false;
    this.hasBeenReplaced = false;
    if (position) this.recordPosition(position);
  }

  private recordPosition(position: Position): void {
    this.highestTerm = Math.max(this.highestTerm, position.term);
    this.highestPosition = laterPosition(
      position,
      this.highestPosition ?? position,
    );
  }

  private connect(): void {
    if (this.isConnecting || this.signal.aborted) return;
    this.isConnecting = true;
    const target = {...this.member, user: SHARED_USER};
    detach(
      'connection to a member',
      this.connector
        .connect(target, CONNECT_TIMEOUT_MS, this.signal)
        .then(outcome => {
          this.isConnecting = false;
          if (outcome.isErr) {
            return this.onConnectFailed(outcome.error);
          }
          const link = outcome.value;
          this.link = link;
          this.connectCount++;
          this.connectedAt = this.clock.now();
          this.onReply(link.positionAtOpen);
          link.onDidClose(() => {
            if (this.link === link) this.link = undefined;
            this.unansweredSince ??= this.clock.now();
            this.connect();
          });
        }),
    );
  }

  private onConnectFailed(failure: ConnectFailure): void {
    // A member without a free connection is alive.
    if (failure === 'too many connections') return this.onReply(undefined);
    this.isRefused = failure !== 'silent';
    this.hasBeenReplaced = failure === 'other member';
  }
}

import {setTimeout} from 'node:timers/promises';
import type {Clock} from '../../../base/common/clock';
import {after, every} from '../../../base/node/timers';
import type {Member} from '../../../schema/generated/fleet';
import type {Position} from '../../position/common/position';
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

/** Silence is noticed within this and an answer's way, in milliseconds. */
const PING_MS = 250;
/**
 * Questions a second to all members together. Each costs some 0.1 ms of a
 * control instance's processor with its answer: 4 a second to 1,000 members take
 * all of the 0.4 of a core that it has. With more members each one is asked
 * less often, and the proxies' reports come before the silence is noticed.
 */
const MOST_PINGS_A_SECOND = 600;

/** How often one of so many members is asked, in milliseconds. */
export function pingIntervalMs(members: number): number {
  return Math.max(PING_MS, (members * 1_000) / MOST_PINGS_A_SECOND);
}
const CONNECT_MS = 500;
/** An answer that takes longer is given up, and its connection with it. */
const ANSWER_MS = 600;
/** A member without room for an order is asked again after this, in ms. */
const BUSY_PAUSE_MS = 25;
/** An order is repeated for so long, in milliseconds. */
const ORDER_MS = 700;

/**
 * Control's own connection to one member: tells whether it answers and carries
 * orders to it. The question is one that takes no slot of the member.
 */
export class MemberMonitor {
  private link: TargetLink | undefined;
  private connecting = false;
  private pinging = false;
  private lastAnswerAt: number;
  private pingedAt = -Infinity;
  /** Since when a question or a connection is outstanding. */
  private unansweredSince: number | undefined;
  private isRefused = false;
  private highestTerm = 0;
  private openings = 0;
  private openedAt = -Infinity;

  constructor(
    readonly member: Member,
    private readonly connector: TargetConnector,
    private readonly reader: StatusReader,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
    private readonly intervalMs = () => PING_MS,
  ) {
    this.lastAnswerAt = clock.now();
    this.unansweredSince = this.lastAnswerAt;
    every(signal, PING_MS, () => this.ping());
    signal.addEventListener('abort', () => this.link?.close(), {once: true});
    this.connect();
  }

  /**
   * How long the member has not answered, in milliseconds. Time in which it was
   * asked nothing counts as one interval at most: a member that is asked every
   * two seconds is not silent in between.
   */
  get silentMs(): number {
    const now = this.clock.now();
    const asked = now - (this.unansweredSince ?? now);
    return Math.min(now - this.lastAnswerAt, asked + PING_MS);
  }

  /** Whether its last refusal is newer than its last answer. */
  get isRefusing(): boolean {
    return this.isRefused;
  }

  /** When it was connected again after a loss; -Infinity for the first time. */
  get reconnectedAt(): number {
    return this.openings > 1 ? this.openedAt : -Infinity;
  }

  /** The highest term that its log has shown. */
  get term(): number {
    return this.highestTerm;
  }

  /**
   * Gives an order; its status then, or undefined where none came in time.
   *
   * Orders take a slot, and a service that lost its primary is at its busiest:
   * a member without room is asked again, else each promotion would wait for
   * the next look at the whole service.
   */
  async sendCommand(
    statement: TargetStatement,
  ): Promise<MemberStatus | undefined> {
    const until = this.clock.now() + ORDER_MS;
    for (;;) {
      const reply = await this.ask(statement);
      if (reply?.kind !== 'answer') return undefined;
      const status = this.reader.read(reply.result);
      if (status) {
        this.highestTerm = Math.max(this.highestTerm, status.term);
        return status;
      }
      if (this.clock.now() >= until) return undefined;
      await setTimeout(BUSY_PAUSE_MS);
    }
  }

  private ping(): void {
    if (!this.link) return this.connect();
    const now = this.clock.now();
    // Ticks come a few milliseconds early or late.
    const isDue = now - this.pingedAt >= this.intervalMs() - PING_MS / 2;
    if (this.pinging || !isDue) return;
    this.pinging = true;
    this.pingedAt = now;
    this.unansweredSince ??= now;
    void this.ask({kind: 'reset'}).then(() => (this.pinging = false));
  }

  private async ask(
    statement: TargetStatement,
  ): Promise<TargetReply | undefined> {
    const {link} = this;
    if (!link) return undefined;
    const cancel = after(this.signal, ANSWER_MS, () => link.close());
    const [promise] = link.send([{requestId: undefined, statement}]);
    const reply = await promise!;
    cancel();
    if (reply.kind === 'answer') this.onAnswer(reply.position);
    return reply;
  }

  private onAnswer(position: Position | undefined): void {
    this.lastAnswerAt = this.clock.now();
    this.unansweredSince = undefined;
    this.isRefused = false;
    if (position) this.highestTerm = Math.max(this.highestTerm, position.term);
  }

  private connect(): void {
    if (this.connecting || this.signal.aborted) return;
    this.connecting = true;
    const target = {...this.member, user: SHARED_USER};
    void this.connector
      .connect(target, CONNECT_MS, this.signal)
      .then(outcome => {
        this.connecting = false;
        if (outcome.isErr) {
          return this.onFailedConnect(outcome.error);
        }
        const link = outcome.value;
        this.link = link;
        this.openings++;
        this.openedAt = this.clock.now();
        this.onAnswer(link.positionAtOpen);
        link.onDidClose(() => {
          if (this.link === link) this.link = undefined;
          this.unansweredSince ??= this.clock.now();
          this.connect();
        });
      });
  }

  private onFailedConnect(failure: ConnectFailure): void {
    // A member that is full answers, and lives.
    if (failure === 'too many connections') return this.onAnswer(undefined);
    this.isRefused = failure !== 'silent';
  }
}

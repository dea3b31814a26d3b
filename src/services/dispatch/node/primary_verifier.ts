import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import type {
  MemberStatus,
  StatusReader,
} from '../../target_link/common/member_status';
import {verifyPrimary, type MemberStatusReply} from '../common/verify_primary';
import type {PooledConnection} from './member_pool';

/** Somebody who waits for proof that a member was not replaced. */
export interface PendingVerification {
  readonly epoch: number;
  /** The term of the member's log when it answered. */
  readonly term: number;
  readonly deadline: number;
  settle(isProved: boolean): void;
}

/** What rounds of questions need of the connections to the members. */
export interface VerificationConnections {
  /** All members of the service. */
  instances(): readonly string[];
  /** A free connection; one is opened for the next round where none is. */
  take(instance: string): PooledConnection | undefined;
  giveBack(pooled: PooledConnection, clean: boolean): void;
}

/** A member that was proved to lead, and since when that holds. */
export interface VerifiedPrimary {
  readonly instance: string;
  readonly epoch: number;
  readonly askedAt: number;
  readonly status: MemberStatus;
}

/**
 * Rounds of questions begin this far apart, in milliseconds: each takes a slot
 * of each member for a moment, from each instance that lost control.
 */
const ROUND_EVERY_MS = 100;
/** The first round may find no connection to some member, and open one. */
const FAILURES_TO_DOUBT = 2;
/** What rounds showed is taken to go on for this, in milliseconds. */
const DOUBT_MS = 1_000;
/** A member that answers later bears no witness, in milliseconds. */
const ANSWER_MS = 300;

/**
 * Proves by the members of a service who leads it while control cannot be
 * reached.
 *
 * Buys: an instance that is cut off from control together with others, or waits
 * for an election, serves what it can reach. Before, its leases ran out after
 * 1.2 s and it refused all services for as long as the cut lasted.
 */
export class PrimaryVerifier {
  private wishes: PendingVerification[] = [];
  private isRunning = false;
  private startedAt = -Infinity;
  private provedAt = -Infinity;
  private failures = 0;
  private said = '';

  constructor(
    private readonly service: string,
    private readonly reader: StatusReader,
    private readonly links: VerificationConnections,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly onDidProve: (lead: VerifiedPrimary) => void,
  ) {}

  /** When the last round that proved a lead began; -Infinity before any. */
  get lastProofAt(): number {
    return this.provedAt;
  }

  /** Whether the members were asked lately, and prove nothing. */
  get isFailing(): boolean {
    const isRecent = this.clock.now() - this.startedAt < DOUBT_MS;
    return isRecent && this.failures >= FAILURES_TO_DOUBT;
  }

  add(wish: PendingVerification): void {
    this.wishes.push(wish);
  }

  /** Gives up on wishes whose time is over, and asks again where some are left. */
  tend(lead: {instance: string; epoch: number}, isWanted: boolean): void {
    const now = this.clock.now();
    const over = this.wishes.filter(({deadline, epoch}) => {
      return deadline <= now || epoch !== lead.epoch;
    });
    this.wishes = this.wishes.filter(wish => !over.includes(wish));
    for (const wish of over) wish.settle(false);
    if (!isWanted && this.wishes.length === 0) return;
    if (this.isRunning || now - this.startedAt < ROUND_EVERY_MS) return;
    this.startRound(lead, now);
  }

  /** No proof can be had by the members. */
  giveUp(): void {
    for (const wish of this.wishes.splice(0)) wish.settle(false);
  }

  private startRound(
    {instance, epoch}: {instance: string; epoch: number},
    now: number,
  ): void {
    const taken = this.links.instances().map(other => this.links.take(other));
    const links = taken.filter(link => link !== undefined);
    this.startedAt = now;
    if (links.length < taken.length) {
      this.failures++;
      for (const pooled of links) this.links.giveBack(pooled, true);
      return;
    }
    this.isRunning = true;
    const waiting = [...this.wishes];
    void Promise.all(links.map(pooled => this.ask(pooled))).then(words => {
      this.isRunning = false;
      const status = verifyPrimary(instance, words);
      this.note(instance, words, status !== undefined);
      this.failures = status ? 0 : this.failures + 1;
      if (!status) return;
      this.provedAt = now;
      this.onDidProve({instance, epoch, askedAt: now, status});
      this.settle(waiting, status.term);
    });
  }

  /** Only what was answered before the round began, in the same term. */
  private settle(waiting: readonly PendingVerification[], term: number): void {
    const proved = waiting.filter(wish => {
      return wish.term === term && this.wishes.includes(wish);
    });
    this.wishes = this.wishes.filter(wish => !proved.includes(wish));
    for (const wish of proved) wish.settle(true);
  }

  private async ask(pooled: PooledConnection): Promise<MemberStatusReply> {
    const {link, instance} = pooled;
    const timer = setTimeout(() => link.close(), ANSWER_MS);
    const [promise] = link.send([
      {requestId: undefined, statement: {kind: 'status'}},
    ]);
    const reply = await promise!;
    clearTimeout(timer);
    const isAnswer = reply.kind === 'answer';
    this.links.giveBack(pooled, isAnswer && reply.state === 'idle');
    const status = isAnswer ? this.reader.read(reply.result) : undefined;
    return {instance, status};
  }

  /** Says when proof by the members begins and ends to hold, and why. */
  private note(
    instance: string,
    words: readonly MemberStatusReply[],
    isProved: boolean,
  ): void {
    const sentence = isProved
      ? 'The members prove a lead.'
      : 'The members do not prove a lead.';
    if (sentence === this.said) return;
    this.said = sentence;
    const answers = words.map(describe).join(' ');
    this.log.info(sentence, {service: this.service, instance, answers});
  }
}

function describe({instance, status}: MemberStatusReply): string {
  if (!status) return `${instance}:silent`;
  return `${instance}:${status.isPrimary ? 'leads' : 'follows'}:${status.term}`;
}

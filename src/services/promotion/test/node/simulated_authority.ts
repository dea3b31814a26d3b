import type {SeededRandom} from '../../../../base/common/random';
import type {PromotionOutcome} from '../../common/promotion_outcome';
import type {
  PromotionReply,
  PromotionRequest,
} from '../../node/promotion_authority';
import type {LoggingGroup} from './logging_group';
import {delay} from './virtual_time';

const REPLY_TIMEOUT_MS = 800;
/** A copy without a reply is executed within this time. */
export const MAX_HOLD_MS = 12_000;
/** Longest stop of a process between two steps that nothing can separate. */
export const MAX_STOP_MS = 1_000;

/** What becomes of one copy of a request. */
export type Fate =
  | 'answered'
  | 'reply lost'
  | 'dropped'
  | 'rate limited'
  /** No reply; executed when the test releases it. */
  | 'kept'
  /** No reply; executed after this time, in milliseconds. */
  | number;

/** The process that sends a request. */
export interface RequestSender {
  /** Waits for a time, and for the end of a suspension. */
  pass(milliseconds: number): Promise<void>;
  suspendFor(milliseconds: number): void;
  readonly isKilled: boolean;
}

/**
 * The service that executes promotions, and the judge of their order. It stands
 * for any network and any load: each copy of a request may arrive late.
 */
export class SimulatedAuthority {
  readonly errors: string[] = [];
  /** Decides on copies; otherwise they are answered, or left to chance. */
  script: ((instance: string, copy: number) => Fate | undefined) | undefined;
  readonly acknowledged = new Set<number>();
  isFaulty = false;
  effectCount = 0;
  private readonly kept: PromotionRequest[] = [];
  private readonly copyCounts = new Map<string, number>();
  private highestToken = 0;
  private readonly holders = new Map<number, string>();
  private readonly effectDelayMs: number;
  /** How often copies are held, beside three that are answered. */
  private readonly heldWeight: number;

  constructor(
    private readonly group: LoggingGroup,
    private readonly random: SeededRandom,
    readonly isFenced: boolean,
    private readonly note: (event: string) => void,
  ) {
    this.effectDelayMs = random.integer(300, 1_000);
    this.heldWeight = random.pick([1, 4, 8]);
  }

  async promote(
    request: PromotionRequest,
    isFresh: () => boolean,
    signal: AbortSignal,
    sender: RequestSender,
  ): Promise<PromotionReply> {
    const startedAt = Date.now();
    await sender.pass(this.isFaulty ? this.random.integer(1, 60) : 5);
    if (signal.aborted || !isFresh()) return {outcome: 'not now'};
    // The process may be stopped between the check and the write.
    const isStopped = this.isFaulty && this.random.integer(0, 9) === 0;
    if (isStopped) await this.stop(sender);
    if (sender.isKilled) return {outcome: 'unknown'};
    const outcome = await this.deliver(request, this.chooseFate(request));
    if (outcome === 'unknown') {
      await delay(startedAt + REPLY_TIMEOUT_MS - Date.now());
    }
    await sender.pass(5);
    return {outcome: signal.aborted ? 'unknown' : outcome};
  }

  private async stop(sender: RequestSender): Promise<void> {
    const milliseconds = this.random.integer(0, MAX_STOP_MS);
    sender.suspendFor(milliseconds);
    await delay(milliseconds);
  }

  /** Executes the requests that were kept. */
  release(): void {
    for (const request of this.kept.splice(0)) this.execute(request);
  }

  /** How many copies of requests for a member were sent. */
  copiesFor(instance: string): number {
    return this.copyCounts.get(instance) ?? 0;
  }

  private chooseFate({instance}: PromotionRequest): Fate {
    const copy = this.copiesFor(instance) + 1;
    this.copyCounts.set(instance, copy);
    const scripted = this.script?.(instance, copy);
    if (scripted !== undefined) return scripted;
    if (!this.isFaulty) return 'answered';
    const held = this.random.integer(100, MAX_HOLD_MS);
    return this.random.pick<Fate>([
      'answered',
      'answered',
      'answered',
      'reply lost',
      'dropped',
      'rate limited',
      ...Array.from({length: this.heldWeight}, () => held),
    ]);
  }

  private async deliver(
    request: PromotionRequest,
    fate: Fate,
  ): Promise<PromotionOutcome> {
    const {instance, holder, token} = request;
    this.note(`${holder} requests ${instance} with ${token}: ${fate}`);
    if (fate === 'dropped') return 'unknown';
    if (fate === 'kept') {
      this.kept.push(request);
      return 'unknown';
    }
    if (fate === 'rate limited') return 'not now';
    if (typeof fate === 'number') {
      setTimeout(() => this.execute(request), fate);
      return 'unknown';
    }
    await delay(5);
    const outcome = this.execute(request);
    return fate === 'answered' ? outcome : 'unknown';
  }

  private execute(request: PromotionRequest): PromotionOutcome {
    const {instance, holder, token} = request;
    const text = `${instance} with ${token} of ${holder}`;
    if (token < this.highestToken) {
      if (this.isFenced) return 'refused';
      this.report(`ONE: ${text} after ${this.highestToken}`);
    }
    this.highestToken = Math.max(this.highestToken, token);
    const first = this.holders.get(token) ?? holder;
    this.holders.set(token, first);
    if (first !== holder) this.report(`ONE: ${text}, used by ${first}`);
    const member = this.group.member(instance);
    if (!member.isUp) return 'refused';
    this.note(`accepted ${text}`);
    if (member.isPrimary) return 'accepted';
    setTimeout(() => this.takeEffect(instance, text), this.effectDelayMs);
    return 'accepted';
  }

  private takeEffect(instance: string, text: string): void {
    const member = this.group.member(instance);
    if (!member.isUp || member.isPrimary) return;
    this.effectCount++;
    this.note(`effect of ${text}`);
    const lost = [...this.acknowledged].filter(id => !member.holds(id));
    if (lost.length > 0) {
      this.report(`LOST: ${text} lacks ${lost.length} acknowledged commits`);
    }
    for (const commit of lost) this.acknowledged.delete(commit);
    this.group.promote(instance);
  }

  private report(error: string): void {
    this.errors.push(error);
    this.note(error);
  }
}

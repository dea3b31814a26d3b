import type {Log} from '../../../base/node/log';
import {openLink, type MessageLink} from '../../../base/node/message_link';
import {after, childController} from '../../../base/node/timers';
import type {
  CounterRequest,
  CounterResponse,
  PermitReply,
} from '../../../schema/generated/account';
import type {CounterState} from '../common/counter_choice';
import type {PermitDecision} from '../common/permit_counting';
import {decodeDecision} from '../common/permit_messages';
import {COUNTER_PROTOCOL} from './counter_protocol';

interface Question {
  readonly account: string;
  /** Undefined once its asker gave it up. */
  settle: ((decision: PermitDecision | undefined) => void) | undefined;
}

/** Questions without an answer; more says that the counter stalls. */
const MOST_QUESTIONS = 4_096;

/** This proxy's stream to one counter. */
export class CounterLink {
  private readonly link: MessageLink<CounterRequest, CounterResponse>;
  private readonly questions = new Map<number, Question>();
  private readonly ended;
  private lastNumber = 0;
  private isSilent = false;

  constructor(
    readonly address: string,
    private readonly log: Log,
    signal: AbortSignal,
    private readonly onDidClose: () => void,
  ) {
    this.ended = childController(signal);
    this.link = openLink(address, COUNTER_PROTOCOL, this.ended.signal);
    this.ended.signal.addEventListener('abort', () => this.settleAll());
    this.link.start({
      onDidReceive: message => this.onMessage(message),
      onDidEnd: reason => this.end(reason),
    });
  }

  get state(): Exclude<CounterState, 'here'> {
    if (this.ended.signal.aborted) return 'closed';
    if (!this.link.hasOpened) return 'connecting';
    const isFull = this.questions.size >= MOST_QUESTIONS;
    return this.isSilent || isFull ? 'silent' : 'ready';
  }

  /** Asks for permits; undefined where no answer comes within a time, in ms. */
  ask(
    account: string,
    wanted: number,
    timeMs: number,
  ): Promise<PermitDecision | undefined> {
    if (this.state !== 'ready') return Promise.resolve(undefined);
    const number = ++this.lastNumber;
    return new Promise(resolve => {
      const cancel = after(this.ended.signal, timeMs, () => {
        this.giveUp(number);
      });
      const settle = (decision: PermitDecision | undefined) => {
        cancel();
        resolve(decision);
      };
      this.questions.set(number, {account, settle});
      const value = {number, account, wanted};
      this.link.write({body: {$case: 'permit', value}});
    });
  }

  giveBack(account: string, count: number): void {
    const value = {account, count};
    this.link.write({body: {$case: 'returned', value}});
  }

  close(): void {
    this.end('not needed any more');
  }

  /**
   * Passes the counter over until something is heard of it. Guard: a counter
   * that hangs would else cost each operation the time that it is waited for.
   */
  private giveUp(number: number): void {
    const question = this.questions.get(number);
    if (!question?.settle) return;
    const {settle} = question;
    question.settle = undefined;
    if (!this.isSilent) {
      this.log.warn('A counter does not answer.', {address: this.address});
    }
    this.isSilent = true;
    settle(undefined);
  }

  private onMessage({body}: CounterResponse): void {
    if (this.isSilent) {
      this.log.info('A counter answers again.', {address: this.address});
    }
    this.isSilent = false;
    if (body?.$case === 'reply') this.onReply(body.value);
  }

  private onReply(reply: PermitReply): void {
    const question = this.questions.get(reply.number);
    this.questions.delete(reply.number);
    if (!question) return;
    const {account, settle} = question;
    if (settle) return settle(decodeDecision(reply));
    // Whoever asked went to another counter: nothing runs with these.
    if (reply.granted > 0) this.giveBack(account, reply.granted);
  }

  private end(reason: string): void {
    if (this.ended.signal.aborted) return;
    const {address, link} = this;
    if (link.hasOpened) this.log.info('Lost a counter.', {address, reason});
    this.ended.abort();
    this.onDidClose();
  }

  private settleAll(): void {
    const questions = [...this.questions.values()];
    this.questions.clear();
    for (const {settle} of questions) settle?.(undefined);
  }
}

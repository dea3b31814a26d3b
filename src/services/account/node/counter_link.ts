import type {Log} from '../../../base/node/log';
import {openLink, type MessageLink} from '../../../base/node/message_link';
import {after, createChildController} from '../../../base/node/timers';
import type {
  CounterRequest,
  CounterResponse,
  PermitReply,
} from '../../../schema/generated/account';
import type {CounterState} from '../common/counter_choice';
import type {PermitDecision} from '../common/permit_counting';
import {decodeDecision} from '../common/permit_messages';
import {COUNTER_PROTOCOL} from './counter_protocol';

interface PendingRequest {
  readonly account: string;
  /** Undefined once the request timed out. */
  settle: ((decision: PermitDecision | undefined) => void) | undefined;
}

/** With more pending requests the counter counts as unresponsive. */
const MAX_PENDING_REQUESTS = 4_096;

/** This proxy's stream to one counter. */
export class CounterLink {
  private readonly link: MessageLink<CounterRequest, CounterResponse>;
  private readonly pending = new Map<number, PendingRequest>();
  private readonly ended;
  private lastNumber = 0;
  private isUnresponsive = false;

  constructor(
    readonly address: string,
    private readonly log: Log,
    signal: AbortSignal,
    private readonly onDidClose: () => void,
  ) {
    this.ended = createChildController(signal);
    this.link = openLink(address, COUNTER_PROTOCOL, this.ended.signal);
    this.ended.signal.addEventListener('abort', () => this.settleAll());
    this.link.start({
      onDidReceive: message => this.onMessage(message),
      onDidEnd: reason => this.end(reason),
    });
  }

  get state(): Exclude<CounterState, 'local'> {
    if (this.ended.signal.aborted) return 'closed';
    if (!this.link.hasOpened) return 'connecting';
    const isFull = this.pending.size >= MAX_PENDING_REQUESTS;
    return this.isUnresponsive || isFull ? 'unresponsive' : 'ready';
  }

  /** Requests permits; undefined where no answer arrives in time. */
  requestPermits(
    account: string,
    wanted: number,
    timeoutMs: number,
  ): Promise<PermitDecision | undefined> {
    if (this.state !== 'ready') return Promise.resolve(undefined);
    const number = ++this.lastNumber;
    return new Promise(resolve => {
      const cancel = after(this.ended.signal, timeoutMs, () => {
        this.onTimeout(number);
      });
      const settle = (decision: PermitDecision | undefined) => {
        cancel();
        resolve(decision);
      };
      this.pending.set(number, {account, settle});
      const value = {number, account, wanted};
      this.link.write({body: {$case: 'permit', value}});
    });
  }

  returnPermits(account: string, count: number): void {
    const value = {account, count};
    this.link.write({body: {$case: 'returned', value}});
  }

  close(): void {
    this.end('the counter was removed');
  }

  /**
   * Excludes the counter until something is received from it. Guard: each
   * operation would otherwise wait for the timeout of a hung counter.
   */
  private onTimeout(number: number): void {
    const request = this.pending.get(number);
    if (!request?.settle) return;
    const {settle} = request;
    request.settle = undefined;
    if (!this.isUnresponsive) {
      this.log.warn('A counter did not answer in time.', {
        address: this.address,
      });
    }
    this.isUnresponsive = true;
    settle(undefined);
  }

  private onMessage({body}: CounterResponse): void {
    if (this.isUnresponsive) {
      this.log.info('A counter answers again.', {address: this.address});
    }
    this.isUnresponsive = false;
    if (body?.$case === 'reply') this.onReply(body.value);
  }

  private onReply(reply: PermitReply): void {
    const request = this.pending.get(reply.number);
    this.pending.delete(reply.number);
    if (!request) return;
    const {account, settle} = request;
    if (settle) return settle(decodeDecision(reply));
    // The request timed out, and the operation tried another counter.
    if (reply.granted > 0) this.returnPermits(account, reply.granted);
  }

  private end(reason: string): void {
    if (this.ended.signal.aborted) return;
    const {address, link} = this;
    if (link.hasOpened) this.log.info('Lost a counter.', {address, reason});
    this.ended.abort();
    this.onDidClose();
  }

  private settleAll(): void {
    const requests = [...this.pending.values()];
    this.pending.clear();
    for (const {settle} of requests) settle?.(undefined);
  }
}

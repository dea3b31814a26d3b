import type {Clock} from '../../../base/common/clock';
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
import type {RequestWindow} from '../common/request_window';
import {COUNTER_PROTOCOL} from './counter_protocol';

interface PendingRequest {
  readonly account: string;
  readonly sentAt: number;
  /** Undefined once the request timed out. */
  settle: ((decision: PermitDecision | undefined) => void) | undefined;
}

/** A counter has caught up if no request timed out for this time. */
const RECOVERY_MS = 1_000;

/** What a link is built on. */
export interface CounterLinkDependencies {
  readonly address: string;
  /** How long a request waits for its answer, in milliseconds. */
  readonly timeoutMs: number;
  readonly window: RequestWindow;
  readonly totals: RequestTotals;
  readonly clock: Clock;
  readonly log: Log;
  onDidClose(): void;
}

/** Requests to counters, by what became of them. */
export class RequestTotals {
  sent = 0;
  timedOut = 0;
  /** Operations for which no counter could get a request in time. */
  withheld = 0;

  /** Returns the metrics in the Prometheus text format. */
  render(): string {
    const {sent, timedOut, withheld} = this;
    return [
      '# TYPE bulrushstage_permit_requests_total counter',
      `bulrushstage_permit_requests_total{outcome="sent"} ${sent}`,
      `bulrushstage_permit_requests_total{outcome="timed out"} ${timedOut}`,
      `bulrushstage_permit_requests_total{outcome="withheld"} ${withheld}`,
      '',
    ].join('\n');
  }
}

/** This proxy's stream to one counter. */
export class CounterLink {
  private readonly link: MessageLink<CounterRequest, CounterResponse>;
  private readonly pending = new Map<number, PendingRequest>();
  private readonly ended;
  private lastNumber = 0;
  private isBehind = false;
  private timedOutAt = -Infinity;

  constructor(
    private readonly dependencies: CounterLinkDependencies,
    signal: AbortSignal,
  ) {
    const {address} = dependencies;
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
    const {window, clock} = this.dependencies;
    return window.allows(this.pending.size, clock.now()) ? 'ready' : 'busy';
  }

  /** Requests permits; undefined where no answer arrives in time. */
  requestPermits(
    account: string,
    wanted: number,
  ): Promise<PermitDecision | undefined> {
    if (this.state !== 'ready') return Promise.resolve(undefined);
    const {timeoutMs, totals, clock} = this.dependencies;
    const number = ++this.lastNumber;
    const sentAt = clock.now();
    totals.sent++;
    return new Promise(resolve => {
      const cancel = after(this.ended.signal, timeoutMs, () => {
        this.onTimeout(number);
      });
      const settle = (decision: PermitDecision | undefined) => {
        cancel();
        resolve(decision);
      };
      this.pending.set(number, {account, sentAt, settle});
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
   * The request stays pending until its answer. Guard: each operation would
   * otherwise wait for the timeout of a hung counter.
   */
  private onTimeout(number: number): void {
    const request = this.pending.get(number);
    if (!request?.settle) return;
    const {settle} = request;
    request.settle = undefined;
    const {window, totals, clock, log, address} = this.dependencies;
    const pending = this.pending.size;
    if (!this.isBehind) {
      log.warn('A counter does not answer in time.', {address, pending});
    }
    this.isBehind = true;
    this.timedOutAt = clock.now();
    window.onTimeout(pending, this.timedOutAt);
    totals.timedOut++;
    settle(undefined);
  }

  private onMessage({body}: CounterResponse): void {
    if (body?.$case === 'reply') this.onReply(body.value);
  }

  private onReply(reply: PermitReply): void {
    const request = this.pending.get(reply.number);
    this.pending.delete(reply.number);
    if (!request) return;
    const {account, sentAt, settle} = request;
    this.recordAnswer(sentAt);
    if (settle) return settle(decodeDecision(reply));
    // The request timed out, and the operation tried another counter.
    if (reply.granted > 0) this.returnPermits(account, reply.granted);
  }

  private recordAnswer(sentAt: number): void {
    const {window, clock, log, address} = this.dependencies;
    const now = clock.now();
    const pendingCount = this.pending.size + 1;
    window.onAnswer({tookMs: now - sentAt, pendingCount});
    if (!this.isBehind || now < this.timedOutAt + RECOVERY_MS) return;
    this.isBehind = false;
    log.info('A counter answers in time again.', {address});
  }

  private end(reason: string): void {
    if (this.ended.signal.aborted) return;
    const {address, log, onDidClose} = this.dependencies;
    if (this.link.hasOpened) log.info('Lost a counter.', {address, reason});
    this.ended.abort();
    onDidClose();
  }

  private settleAll(): void {
    const requests = [...this.pending.values()];
    this.pending.clear();
    for (const {settle} of requests) settle?.(undefined);
  }
}

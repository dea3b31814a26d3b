import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import {openLink, type MessageLink} from '../../../base/node/message_link';
import {createChildController, everyWhileBusy} from '../../../base/node/timers';
import type {
  PoolerRequest,
  PoolerResponse,
  WorkReply,
  WorkRequest,
} from '../../../schema/generated/pooler';
import {PoolerWaits} from '../common/pooler_waits';
import {POOLER_PROTOCOL} from './pooler_protocol';

/** The state of a pooler, as seen on its link. */
export type LinkState =
  /** Nothing was received yet. */
  | 'connecting'
  | 'ready'
  /** Requests are pending and nothing is received. */
  | 'silent'
  /** Silent until recently; used only if there is no other pooler. */
  | 'recovering'
  /** Accepts no new work. */
  | 'draining'
  | 'closed';

/** How a request is sent. */
export interface SendOptions {
  /**
   * Whether the request is sent to another pooler if this one falls silent; not
   * set for writes.
   */
  readonly isRetryable: boolean;
}

interface PendingRequest extends SendOptions {
  resolve(reply: WorkReply | undefined): void;
}

const CHECK_INTERVAL_MS = 50;
/** Silence after which a pooler with pending requests is pinged. */
const PING_AFTER_MS = 120;
/**
 * Above the round trip between regions and the scheduling delay of a busy
 * pooler, and below the statement limit, so that a read can be retried.
 */
const SILENT_AFTER_MS = 350;
/**
 * How long a pooler that was silent ranks behind others: an overloaded pooler
 * would otherwise get new work whenever it answers.
 */
const RECOVERY_MS = 1_000;
/** Silence after which a link is closed and reopened. */
const CLOSE_AFTER_MS = 2_500;
/** A pooler with more pending requests is stalled. */
const MAX_PENDING_REQUESTS = 512;

/** A stream to one pooler, with the requests that are pending on it. */
export class PoolerLink {
  private readonly link: MessageLink<PoolerRequest, PoolerResponse>;
  /** The queue waits that this pooler reported. */
  readonly waits = new PoolerWaits();
  private readonly pending = new Map<number, PendingRequest>();
  private readonly ended;
  /**
   * Checks run only while requests are pending: a proxy has links to many
   * poolers.
   */
  private readonly wakeCheck: () => void;
  private receivedAt: number;
  private pendingSince: number | undefined;
  private isOpen = false;
  private silentAt = -Infinity;
  private isDraining = false;
  private hasEnded = false;
  private lastWorkId = 0;

  constructor(
    readonly address: string,
    private readonly clock: Clock,
    private readonly log: Log,
    signal: AbortSignal,
    private readonly onDidClose: () => void,
  ) {
    this.ended = createChildController(signal);
    this.receivedAt = clock.now();
    this.link = openLink(address, POOLER_PROTOCOL, signal);
    this.link.start({
      onDidReceive: message => this.onMessage(message),
      onDidEnd: reason => this.end(reason),
    });
    this.ended.signal.addEventListener('abort', () => this.end('stopped'));
    const periods = {busyMs: CHECK_INTERVAL_MS, idleMs: Infinity};
    this.wakeCheck = everyWhileBusy(this.ended.signal, periods, () => {
      this.check();
      return this.pendingSince !== undefined;
    });
    this.ping();
  }

  get state(): LinkState {
    if (this.hasEnded) return 'closed';
    if (!this.isOpen) return 'connecting';
    if (this.silentMs > SILENT_AFTER_MS) return 'silent';
    if (this.isDraining) return 'draining';
    const sinceSilent = this.clock.now() - this.silentAt;
    return sinceSilent < RECOVERY_MS ? 'recovering' : 'ready';
  }

  /** Number of requests without a reply. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /** Returns the id of a new request on this link. */
  nextWorkId(): number {
    return ++this.lastWorkId;
  }

  /** Sends a request; resolves with undefined if no reply will come. */
  send(
    request: WorkRequest,
    options: SendOptions,
  ): Promise<WorkReply | undefined> {
    if (this.hasEnded || this.pending.size >= MAX_PENDING_REQUESTS) {
      return Promise.resolve(undefined);
    }
    this.expectReply();
    return new Promise(resolve => {
      this.pending.set(request.work, {...options, resolve});
      this.write({$case: 'work', value: request});
    });
  }

  /** Cancels a request at the pooler and resolves it with undefined. */
  cancel(work: number): void {
    this.complete(work, undefined);
    this.write({$case: 'abandoned', value: {work}});
  }

  close(): void {
    this.end('no longer needed');
  }

  /**
   * Time without any message since the oldest pending request, in milliseconds.
   */
  private get silentMs(): number {
    if (this.pendingSince === undefined) return 0;
    return this.clock.now() - Math.max(this.pendingSince, this.receivedAt);
  }

  private check(): void {
    const {silentMs} = this;
    if (silentMs > CLOSE_AFTER_MS) return this.end('silent');
    if (silentMs > SILENT_AFTER_MS) return this.onDidFallSilent();
    if (silentMs > PING_AFTER_MS) this.ping();
  }

  private ping(): void {
    this.expectReply();
    this.write({$case: 'alive', value: {}});
  }

  private expectReply(): void {
    this.pendingSince ??= this.clock.now();
    this.wakeCheck();
  }

  private onDidFallSilent(): void {
    this.silentAt = this.clock.now();
    for (const [work, {isRetryable}] of [...this.pending]) {
      if (isRetryable) this.cancel(work);
    }
  }

  private onMessage({body}: PoolerResponse): void {
    this.receivedAt = this.clock.now();
    this.onFirstMessage();
    switch (body?.$case) {
      case 'reply':
        this.waits.update(body.value.waits, this.receivedAt);
        this.complete(body.value.work, body.value);
        break;
      case 'leaving':
        this.isDraining = true;
        this.log.info('A pooler is draining and accepts no new work.', {
          address: this.address,
        });
        break;
      case 'alive':
        break;
    }
    if (this.pending.size === 0) this.pendingSince = undefined;
  }

  private onFirstMessage(): void {
    if (this.isOpen) return;
    this.isOpen = true;
    this.log.info('Connected to a pooler.', {address: this.address});
  }

  private complete(work: number, reply: WorkReply | undefined): void {
    const request = this.pending.get(work);
    this.pending.delete(work);
    request?.resolve(reply);
  }

  private write(body: PoolerRequest['body']): void {
    if (!this.hasEnded) this.link.write({body});
  }

  private end(reason: string): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const {address} = this;
    const work = this.pending.size;
    if (this.isOpen) this.log.info('Lost a pooler.', {address, reason, work});
    for (const id of [...this.pending.keys()]) this.complete(id, undefined);
    this.ended.abort();
    this.link.end();
    this.onDidClose();
  }
}

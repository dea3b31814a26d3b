import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import {openLink, type MessageLink} from '../../../base/node/message_link';
import {childController, everyWhileBusy} from '../../../base/node/timers';
import type {
  PoolerRequest,
  PoolerResponse,
  WorkReply,
  WorkRequest,
} from '../../../schema/generated/pooler';
import {PoolerWaits} from '../common/pooler_waits';
import {POOLER_PROTOCOL} from './pooler_protocol';

/** What is known of a pooler through its link. */
export type LinkState =
  /** Nothing was heard of it yet. */
  | 'connecting'
  | 'ready'
  /** It answers nothing at present, though something was asked. */
  | 'silent'
  /** It was silent a moment ago: used where there is no other. */
  | 'recovering'
  /** It takes no new work. */
  | 'leaving'
  | 'closed';

/** How an answer is waited for. */
export interface SendOptions {
  /** Sent elsewhere where the pooler falls silent; writes are not. */
  readonly isRetryable: boolean;
}

interface Waiting extends SendOptions {
  settle(reply: WorkReply | undefined): void;
}

const LOOK_MS = 50;
/** Without a word for so long, a pooler with work is asked for a sign, in ms. */
const QUIET_MS = 120;
/**
 * Without a word for so long it is silent: a way between regions and back
 * takes 40 ms, and a busy pooler's turn some tens of milliseconds; a statement
 * may take 800 ms in all, so a read has time for another pooler.
 */
const SILENT_MS = 350;
/**
 * After it was silent, others go before it for so long, in ms: a pooler that is
 * too busy would else get new work at each sign of life.
 */
const RECOVERY_MS = 1_000;
/** A link that stays silent is closed and opened anew, in milliseconds. */
const GIVE_UP_MS = 2_500;
/** Statements that may be under way; more says that the pooler stalls. */
const MOST_UNDER_WAY = 512;

/** This proxy's stream to one pooler. */
export class PoolerLink {
  private readonly link: MessageLink<PoolerRequest, PoolerResponse>;
  /** How long work waits at this pooler. */
  readonly waits = new PoolerWaits();
  private readonly waiting = new Map<number, Waiting>();
  private readonly ended;
  /** Looks come while something is asked: a proxy has links to many poolers. */
  private readonly wakeLook: () => void;
  private heardAt: number;
  private askedAt: number | undefined;
  private heard = false;
  private silentAt = -Infinity;
  private leaving = false;
  private closed = false;
  private works = 0;

  constructor(
    readonly address: string,
    private readonly clock: Clock,
    private readonly log: Log,
    signal: AbortSignal,
    private readonly onDidClose: () => void,
  ) {
    this.ended = childController(signal);
    this.heardAt = clock.now();
    this.link = openLink(address, POOLER_PROTOCOL, signal);
    this.link.start({
      onDidReceive: message => this.onMessage(message),
      onDidEnd: reason => this.end(reason),
    });
    this.ended.signal.addEventListener('abort', () => this.end('stopped'));
    const periods = {busyMs: LOOK_MS, restMs: Infinity};
    this.wakeLook = everyWhileBusy(this.ended.signal, periods, () => {
      this.look();
      return this.askedAt !== undefined;
    });
    this.askForSign();
  }

  get state(): LinkState {
    if (this.closed) return 'closed';
    if (!this.heard) return 'connecting';
    if (this.quietMs > SILENT_MS) return 'silent';
    if (this.leaving) return 'leaving';
    const sinceSilent = this.clock.now() - this.silentAt;
    return sinceSilent < RECOVERY_MS ? 'recovering' : 'ready';
  }

  /** Statements that were sent and not answered. */
  get pendingCount(): number {
    return this.waiting.size;
  }

  /** A name for new work on this link. */
  nextWorkId(): number {
    return ++this.works;
  }

  /** Sends a statement; undefined where its answer will not come. */
  send(
    request: WorkRequest,
    terms: SendOptions,
  ): Promise<WorkReply | undefined> {
    if (this.closed || this.waiting.size >= MOST_UNDER_WAY) {
      return Promise.resolve(undefined);
    }
    this.noteAsked();
    return new Promise(resolve => {
      this.waiting.set(request.work, {...terms, settle: resolve});
      this.write({$case: 'work', value: request});
    });
  }

  /** Tells the pooler that nothing more is wanted of a piece of work. */
  cancel(work: number): void {
    this.settle(work, undefined);
    this.write({$case: 'abandoned', value: {work}});
  }

  close(): void {
    this.end('not needed any more');
  }

  /** How long a question has been without any word, in milliseconds. */
  private get quietMs(): number {
    if (this.askedAt === undefined) return 0;
    return this.clock.now() - Math.max(this.askedAt, this.heardAt);
  }

  private look(): void {
    const {quietMs} = this;
    if (quietMs > GIVE_UP_MS) return this.end('silent');
    if (quietMs > SILENT_MS) return this.onSilence();
    if (quietMs > QUIET_MS) this.askForSign();
  }

  private askForSign(): void {
    this.noteAsked();
    this.write({$case: 'alive', value: {}});
  }

  private noteAsked(): void {
    this.askedAt ??= this.clock.now();
    this.wakeLook();
  }

  private onSilence(): void {
    this.silentAt = this.clock.now();
    for (const [work, {isRetryable}] of [...this.waiting]) {
      if (isRetryable) this.cancel(work);
    }
  }

  private onMessage({body}: PoolerResponse): void {
    this.heardAt = this.clock.now();
    this.noteHeard();
    switch (body?.$case) {
      case 'reply':
        this.waits.update(body.value.waits, this.heardAt);
        this.settle(body.value.work, body.value);
        break;
      case 'leaving':
        this.leaving = true;
        this.log.info('A pooler takes no new work.', {address: this.address});
        break;
      case 'alive':
        break;
    }
    if (this.waiting.size === 0) this.askedAt = undefined;
  }

  private noteHeard(): void {
    if (this.heard) return;
    this.heard = true;
    this.log.info('Reaches a pooler.', {address: this.address});
  }

  private settle(work: number, reply: WorkReply | undefined): void {
    const waiting = this.waiting.get(work);
    this.waiting.delete(work);
    waiting?.settle(reply);
  }

  private write(body: PoolerRequest['body']): void {
    if (!this.closed) this.link.write({body});
  }

  private end(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    const {address} = this;
    const work = this.waiting.size;
    if (this.heard) this.log.info('Lost a pooler.', {address, reason, work});
    for (const id of [...this.waiting.keys()]) this.settle(id, undefined);
    this.ended.abort();
    this.link.end();
    this.onDidClose();
  }
}

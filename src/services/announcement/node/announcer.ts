import type {ClientDuplexStream} from '@grpc/grpc-js';
import {CHANNEL_CREDENTIALS, CHANNEL_OPTIONS} from '../../../base/node/grpc';
import {after, every} from '../../../base/node/timers';
import type {
  ObserverMessage,
  Order,
  OrderResult,
  TargetMessage,
  TargetStatus,
} from '../../../schema/generated/announcement';
import {AnnouncementClient} from '../../../schema/generated/announcement_service';

const RECONNECT_DELAY_MS = 100;
/** A stream without a ping for this long is opened again. */
const PING_TIMEOUT_MS = 3_000;

/** The target behind an announcer. */
export interface AnnouncedTarget {
  status(): TargetStatus;
  execute(order: Order): OrderResult;
}

type Stream = ClientDuplexStream<TargetMessage, ObserverMessage>;

/** The target's end of an announcement stream, which reconnects when lost. */
export class Announcer {
  private readonly client;
  private stream: Stream | undefined;
  private lastMessageAt = 0;
  private isAnnouncing = false;

  constructor(
    private readonly target: AnnouncedTarget,
    address: string,
    private readonly signal: AbortSignal,
  ) {
    this.client = new AnnouncementClient(
      address,
      CHANNEL_CREDENTIALS,
      CHANNEL_OPTIONS,
    );
    signal.addEventListener('abort', () => this.client.close(), {once: true});
    every(signal, PING_TIMEOUT_MS, () => this.cancelIfSilent());
    this.connect();
  }

  /** Announces the status; changes in the same tick share one message. */
  announce(): void {
    if (this.isAnnouncing || !this.stream) return;
    this.isAnnouncing = true;
    setImmediate(() => {
      this.isAnnouncing = false;
      this.write({$case: 'status', value: this.target.status()});
    });
  }

  private connect(): void {
    if (this.signal.aborted) return;
    const stream = this.client.announce();
    this.stream = stream;
    this.lastMessageAt = Date.now();
    stream.on('data', (message: ObserverMessage) => this.onMessage(message));
    let hasEnded = false;
    const onEnd = () => {
      if (hasEnded) return;
      hasEnded = true;
      if (this.stream === stream) this.stream = undefined;
      after(this.signal, RECONNECT_DELAY_MS, () => this.connect());
    };
    stream.on('error', onEnd);
    stream.on('end', onEnd);
    this.write({$case: 'status', value: this.target.status()});
  }

  private cancelIfSilent(): void {
    if (Date.now() - this.lastMessageAt < PING_TIMEOUT_MS) return;
    this.stream?.cancel();
  }

  private onMessage({body}: ObserverMessage): void {
    this.lastMessageAt = Date.now();
    if (body?.$case === 'ping') {
      const status = this.target.status();
      this.write({$case: 'pong', value: {sequence: body.value, status}});
    }
    if (body?.$case === 'order') {
      this.write({$case: 'result', value: this.target.execute(body.value)});
    }
  }

  private write(body: NonNullable<TargetMessage['body']>): void {
    this.stream?.write({body});
  }
}

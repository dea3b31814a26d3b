import type {ClientDuplexStream} from '@grpc/grpc-js';
import {LINK_CREDENTIALS, LINK_OPTIONS} from '../../../base/node/grpc';
import {after, every} from '../../../base/node/timers';
import type {
  ObserverMessage,
  Order,
  OrderResult,
  TargetMessage,
  TargetStatus,
} from '../../../schema/generated/announcement';
import {AnnouncementClient} from '../../../schema/generated/announcement_service';

const RECONNECT_MS = 100;
/** A stream on which no ping came for this long is opened anew. */
const DEAF_MS = 3_000;

/** What a target says and does when it is asked. */
export interface AnnouncedTarget {
  status(): TargetStatus;
  execute(order: Order): OrderResult;
}

type Stream = ClientDuplexStream<TargetMessage, ObserverMessage>;

/** The target's end of one announcement stream. */
export class Announcer {
  private readonly client;
  private stream: Stream | undefined;
  private heardAt = 0;
  private announcing = false;

  constructor(
    private readonly target: AnnouncedTarget,
    address: string,
    private readonly signal: AbortSignal,
  ) {
    this.client = new AnnouncementClient(
      address,
      LINK_CREDENTIALS,
      LINK_OPTIONS,
    );
    signal.addEventListener('abort', () => this.client.close(), {once: true});
    every(signal, DEAF_MS, () => this.reopenIfDeaf());
    this.connect();
  }

  /** Tells the observer of a change; changes at one time make one message. */
  announce(): void {
    if (this.announcing || !this.stream) return;
    this.announcing = true;
    setImmediate(() => {
      this.announcing = false;
      this.say({$case: 'status', value: this.target.status()});
    });
  }

  private connect(): void {
    if (this.signal.aborted) return;
    const stream = this.client.announce();
    this.stream = stream;
    this.heardAt = Date.now();
    stream.on('data', (message: ObserverMessage) => this.onMessage(message));
    let ended = false;
    const onEnd = () => {
      if (ended) return;
      ended = true;
      if (this.stream === stream) this.stream = undefined;
      after(this.signal, RECONNECT_MS, () => this.connect());
    };
    stream.on('error', onEnd);
    stream.on('end', onEnd);
    this.say({$case: 'status', value: this.target.status()});
  }

  private reopenIfDeaf(): void {
    if (Date.now() - this.heardAt < DEAF_MS) return;
    this.stream?.cancel();
  }

  private onMessage({body}: ObserverMessage): void {
    this.heardAt = Date.now();
    if (body?.$case === 'ping') {
      const status = this.target.status();
      this.say({$case: 'pong', value: {sequence: body.value, status}});
    }
    if (body?.$case === 'order') {
      this.say({$case: 'result', value: this.target.execute(body.value)});
    }
  }

  private say(body: NonNullable<TargetMessage['body']>): void {
    this.stream?.write({body});
  }
}

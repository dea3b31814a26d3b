import {Metadata, type ClientDuplexStream} from '@grpc/grpc-js';
import {FOLLOW_OPTIONS, LINK_CREDENTIALS} from '../../../base/node/grpc';
import {after, childController} from '../../../base/node/timers';
import {
  FleetClient,
  type FollowerMessage,
  type LeaderMessage,
} from '../../../schema/generated/fleet';

/**
 * A stream that said nothing after this long is given up, in milliseconds: an
 * instance that is cut off from the others never learns who leads.
 */
const FIRST_WORD_MS = 1_500;

/** What a stream tells its owner. */
export interface StreamListener {
  onDidReceive(stream: FollowerStream, message: LeaderMessage): void;
  /** It ended, and not by its owner's word. */
  onDidEnd(stream: FollowerStream): void;
}

/** A proxy's stream to one instance of control. */
export class FollowerStream {
  private readonly client: FleetClient;
  private readonly stream: ClientDuplexStream<FollowerMessage, LeaderMessage>;
  private readonly ended;

  constructor(
    readonly address: string,
    private readonly listener: StreamListener,
    signal: AbortSignal,
  ) {
    this.ended = childController(signal);
    this.client = new FleetClient(address, LINK_CREDENTIALS, FOLLOW_OPTIONS);
    this.stream = this.client.follow(new Metadata());
    const giveUp = () => this.onLost();
    const cancelWait = after(this.ended.signal, FIRST_WORD_MS, giveUp);
    this.stream.on('data', message => {
      cancelWait();
      if (this.isEnded) return;
      this.listener.onDidReceive(this, message);
    });
    this.stream.on('error', giveUp);
    this.stream.on('end', giveUp);
    this.ended.signal.addEventListener('abort', () => this.close());
  }

  get isEnded(): boolean {
    return this.ended.signal.aborted;
  }

  write(body: NonNullable<FollowerMessage['body']>): void {
    if (!this.isEnded) this.stream.write({body});
  }

  /** Ends it; its owner is not called back. */
  end(): void {
    this.ended.abort();
  }

  private onLost(): void {
    if (this.isEnded) return;
    this.end();
    this.listener.onDidEnd(this);
  }

  private close(): void {
    this.stream.cancel();
    this.client.close();
  }
}

import {openLink, type MessageLink} from '../../../base/node/message_link';
import {after} from '../../../base/node/timers';
import type {
  FollowerMessage,
  LeaderMessage,
} from '../../../schema/generated/fleet';
import {FLEET_PROTOCOL} from './fleet_protocol';

/**
 * A stream without a first message is closed: a partitioned control instance
 * never learns who the leader is.
 */
const FIRST_MESSAGE_TIMEOUT_MS = 1_500;

/** Receives the events of a stream. */
export interface StreamListener {
  onDidReceive(stream: FollowerStream, message: LeaderMessage): void;
  /** The stream ended other than by a call of `end`. */
  onDidEnd(stream: FollowerStream): void;
}

/** A stream of a proxy to one control instance. */
export class FollowerStream {
  private readonly link: MessageLink<FollowerMessage, LeaderMessage>;

  constructor(
    readonly address: string,
    listener: StreamListener,
    signal: AbortSignal,
  ) {
    this.link = openLink(address, FLEET_PROTOCOL, signal);
    const cancelTimeout = after(signal, FIRST_MESSAGE_TIMEOUT_MS, () => {
      if (this.link.isEnded) return;
      this.link.end();
      listener.onDidEnd(this);
    });
    this.link.start({
      onDidReceive: message => {
        cancelTimeout();
        listener.onDidReceive(this, message);
      },
      onDidEnd: () => {
        cancelTimeout();
        listener.onDidEnd(this);
      },
    });
  }

  write(body: NonNullable<FollowerMessage['body']>): void {
    this.link.write({body});
  }

  /** Ends the stream without calling the listener. */
  end(): void {
    this.link.end();
  }
}

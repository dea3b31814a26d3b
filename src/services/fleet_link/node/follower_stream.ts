import {openLink, type MessageLink} from '../../../base/node/message_link';
import {after} from '../../../base/node/timers';
import type {
  FollowerMessage,
  LeaderMessage,
} from '../../../schema/generated/fleet';
import {FLEET_PROTOCOL} from './fleet_protocol';

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
  private readonly link: MessageLink<FollowerMessage, LeaderMessage>;

  constructor(
    readonly address: string,
    listener: StreamListener,
    signal: AbortSignal,
  ) {
    this.link = openLink(address, FLEET_PROTOCOL, signal);
    const cancelWait = after(signal, FIRST_WORD_MS, () => {
      if (this.link.isEnded) return;
      this.link.end();
      listener.onDidEnd(this);
    });
    this.link.start({
      onDidReceive: message => {
        cancelWait();
        listener.onDidReceive(this, message);
      },
      onDidEnd: () => {
        cancelWait();
        listener.onDidEnd(this);
      },
    });
  }

  write(body: NonNullable<FollowerMessage['body']>): void {
    this.link.write({body});
  }

  /** Ends it; its owner is not called back. */
  end(): void {
    this.link.end();
  }
}

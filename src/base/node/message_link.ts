import {connect, type Socket} from 'node:net';
import {parseAddress} from '../common/address';
import {
  encodeFrame,
  frameOf,
  FrameReader,
  type MessageCodec,
} from './message_frames';
import {toError} from './task';
import {after, childController, every} from './timers';

/** What two processes say to each other on one kind of link. */
export interface LinkProtocol<Q, A> {
  /** Tells the kinds of links apart that share a port. */
  readonly name: string;
  /** What the side that connects says. */
  readonly requests: MessageCodec<Q>;
  /** What the side that listens says. */
  readonly responses: MessageCodec<A>;
  /** Without a byte for about this long a link is over, in milliseconds. */
  readonly silenceMs: number;
}

/** What the owner of a link hears from it. */
export interface LinkListener<In> {
  onDidReceive(message: In): void;
  /** Called once, unless its owner ended it. */
  onDidEnd(reason: string): void;
}

/** What one side of a link sends, expects, and bears. */
export interface LinkSide<Out, In> {
  readonly outgoing: MessageCodec<Out>;
  readonly incoming: MessageCodec<In>;
  readonly silenceMs: number;
}

/**
 * Looks without a byte from the other side before a link is over. Counting
 * looks, not time, gives a process that was suspended one look to read what
 * had come.
 */
const QUIET_LOOKS = 3;
/** The first look after a byte does not count; half of one passes before it. */
const LOOKS_A_SILENCE = QUIET_LOOKS + 0.5;
/**
 * Bytes that may wait for a link: seconds of a 2 Mbit/s link. More says that
 * the other side does not read, and would fill this side's memory.
 */
const MOST_WAITING_BYTES = 4 * 1024 * 1024;
/** Says that this side is alive where it has nothing else to say. */
const EMPTY_FRAME = frameOf(new Uint8Array(0));

/**
 * A connection between two of the system's processes that carries messages of
 * the schema both ways, in order.
 *
 * Guard: a silent cut leaves a connection open for minutes. Each side that has
 * nothing to say sends an empty frame now and then, and gives up a connection
 * on which nothing came.
 *
 * Buys, against streams of gRPC on the same machines: see
 * docs/design/message-links.md.
 */
export class MessageLink<Out, In> {
  private readonly ended;
  private listener: LinkListener<In> | undefined;
  private quietLooks = 0;
  private hasWritten = false;
  private isFinishing = false;
  private opened: boolean;
  /** Where the other side is, for logs. */
  readonly peer: string;

  constructor(
    private readonly socket: Socket,
    private readonly reader: FrameReader,
    private readonly side: LinkSide<Out, In>,
    signal: AbortSignal,
    address?: string,
  ) {
    // A socket forgets its addresses when it ends.
    this.peer = address ?? `${socket.remoteAddress}:${socket.remotePort}`;
    this.opened = !socket.connecting;
    socket.once('connect', () => (this.opened = true));
    this.ended = childController(signal);
    socket.setNoDelay(true);
    socket.on('data', chunk => this.onData(chunk));
    socket.on('error', error => this.lose(error.message));
    socket.on('end', () => this.lose('ended'));
    socket.on('close', () => this.lose('closed'));
    this.ended.signal.addEventListener('abort', () => socket.destroy());
    every(this.ended.signal, side.silenceMs / LOOKS_A_SILENCE, () => {
      this.look();
    });
  }

  /** Whether the connection was ever there. */
  get hasOpened(): boolean {
    return this.opened;
  }

  get isEnded(): boolean {
    return this.ended.signal.aborted;
  }

  /** Bytes that were written and not yet sent. */
  get waitingBytes(): number {
    return this.socket.writableLength;
  }

  /** Tells the owner of the link what comes from now on. */
  start(listener: LinkListener<In>): void {
    this.listener = listener;
  }

  write(message: Out): void {
    this.writeFrame(encodeFrame(this.side.outgoing, message));
  }

  /** Writes a message that was encoded before, for many links. */
  writeFrame(frame: Uint8Array): void {
    if (this.isEnded || this.isFinishing) return;
    this.hasWritten = true;
    this.holdUntilTurnEnds();
    this.socket.write(frame);
    if (this.waitingBytes > MOST_WAITING_BYTES) {
      this.lose('the other side does not read');
    }
  }

  /** Takes a frame that was read before this link was made. */
  take(frame: Uint8Array): void {
    if (this.isEnded || this.isFinishing || frame.length === 0) return;
    let message: In;
    try {
      message = this.side.incoming.decode(frame);
    } catch (error) {
      return this.lose(`unreadable: ${toError(error).message}`);
    }
    this.listener?.onDidReceive(message);
  }

  /** Counts as lost where the connection does not open in a time, in ms. */
  giveUpUnlessOpen(timeMs: number): void {
    const cancel = after(this.ended.signal, timeMs, () => {
      this.lose('not reached');
    });
    this.socket.once('connect', cancel);
  }

  /** Ends the link once what was written is sent; its owner hears no more. */
  finish(): void {
    if (this.isEnded || this.isFinishing) return;
    this.isFinishing = true;
    this.listener = undefined;
    this.socket.end();
    after(this.ended.signal, this.side.silenceMs, () => this.end());
  }

  /** Ends the link at once; its owner hears no more. */
  end(): void {
    this.listener = undefined;
    this.ended.abort();
  }

  /** Frames of one turn leave in one segment. */
  private holdUntilTurnEnds(): void {
    if (this.socket.writableCorked > 0) return;
    this.socket.cork();
    process.nextTick(() => this.socket.uncork());
  }

  private onData(chunk: Buffer): void {
    this.quietLooks = 0;
    let frames: Buffer[];
    try {
      frames = this.reader.push(chunk);
    } catch (error) {
      return this.lose(`unreadable: ${toError(error).message}`);
    }
    for (const frame of frames) this.take(frame);
  }

  private look(): void {
    if (++this.quietLooks > QUIET_LOOKS) return this.lose('silent');
    if (!this.hasWritten) this.writeFrame(EMPTY_FRAME);
    this.hasWritten = false;
  }

  private lose(reason: string): void {
    if (this.isEnded) return;
    const {listener} = this;
    this.end();
    listener?.onDidEnd(reason);
  }
}

/**
 * A machine without power does not answer, and the opening packet is sent again
 * after a second only; a new connection after this finds one that came back.
 * Ways between regions take 40 ms both ways.
 */
const CONNECT_MS = 600;

/** Connects to a process; what is written meanwhile waits. */
export function openLink<Q, A>(
  address: string,
  protocol: LinkProtocol<Q, A>,
  signal: AbortSignal,
): MessageLink<Q, A> {
  const {host, port} = parseAddress(address) ?? {host: '', port: 0};
  const socket = connect({host, port});
  const side = {
    outgoing: protocol.requests,
    incoming: protocol.responses,
    silenceMs: protocol.silenceMs,
  };
  const reader = new FrameReader();
  const link = new MessageLink<Q, A>(socket, reader, side, signal, address);
  link.writeFrame(frameOf(Buffer.from(protocol.name)));
  link.giveUpUnlessOpen(CONNECT_MS);
  return link;
}

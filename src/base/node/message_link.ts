import {connect, type Socket} from 'node:net';
import {parseAddress} from '../common/address';
import {
  encodeFrame,
  encodeBytes,
  FrameReader,
  type MessageCodec,
} from './message_frames';
import {toError} from '../common/errors';
import {after, createChildController, every} from './timers';

/** The messages that two processes exchange on one kind of link. */
export interface LinkProtocol<Request, Response> {
  /** Sent first, so that several protocols can share a port. */
  readonly name: string;
  /** Messages of the side that connects. */
  readonly requests: MessageCodec<Request>;
  /** Messages of the side that listens. */
  readonly responses: MessageCodec<Response>;
  /** A link that receives no byte for about this long is closed. */
  readonly maxSilenceMs: number;
}

/** Events of a link, for its owner. */
export interface LinkListener<In> {
  onDidReceive(message: In): void;
  /** Called once, unless the owner ended the link. */
  onDidEnd(reason: string): void;
}

/** The codecs and the silence limit of one side of a link. */
export interface LinkSide<Out, In> {
  readonly outgoing: MessageCodec<Out>;
  readonly incoming: MessageCodec<In>;
  readonly maxSilenceMs: number;
}

/**
 * Checks without a received byte before a link is closed. Checks are counted
 * instead of time, so that a process that was suspended reads pending bytes
 * before it closes the link.
 */
const MAX_SILENT_CHECKS = 3;
/** On average half an interval passes between a byte and the next check. */
const CHECKS_PER_SILENCE = MAX_SILENT_CHECKS + 0.5;
/**
 * Bounds memory: this takes a slow link seconds to send, so with more queued
 * bytes, the peer is not reading.
 */
const MAX_QUEUED_BYTES = 4 * 1024 * 1024;
/** Sent when there is no message, so that the peer does not time out. */
const HEARTBEAT_FRAME = encodeBytes(new Uint8Array(0));

/**
 * A connection between two processes of the system that carries messages of
 * the schema in both directions, in order.
 *
 * Guard: a network partition leaves a connection open for minutes. Each side
 * sends heartbeats and closes a connection on which it receives nothing.
 */
export class MessageLink<Out, In> {
  private readonly controller;
  private listener: LinkListener<In> | undefined;
  private silentChecks = 0;
  private hasWritten = false;
  private isFlushing = false;
  private wasOpened: boolean;
  /** The address of the peer, for logs. */
  readonly peer: string;

  constructor(
    private readonly socket: Socket,
    private readonly reader: FrameReader,
    private readonly side: LinkSide<Out, In>,
    signal: AbortSignal,
    address?: string,
  ) {
    // A socket loses its addresses when it ends.
    this.peer = address ?? `${socket.remoteAddress}:${socket.remotePort}`;
    this.wasOpened = !socket.connecting;
    socket.once('connect', () => (this.wasOpened = true));
    this.controller = createChildController(signal);
    socket.setNoDelay(true);
    socket.on('data', chunk => this.onData(chunk));
    socket.on('error', error => this.fail(error.message));
    socket.on('end', () => this.fail('ended by the peer'));
    socket.on('close', () => this.fail('closed'));
    this.controller.signal.addEventListener('abort', () => socket.destroy());
    every(
      this.controller.signal,
      side.maxSilenceMs / CHECKS_PER_SILENCE,
      () => {
        this.checkSilence();
      },
    );
  }

  /** Whether the connection was ever established. */
  get hasOpened(): boolean {
    return this.wasOpened;
  }

  get isEnded(): boolean {
    return this.controller.signal.aborted;
  }

  /** Bytes that were written but not yet sent. */
  get queuedBytes(): number {
    return this.socket.writableLength;
  }

  /** Delivers further events to the listener; replaces an earlier one. */
  start(listener: LinkListener<In>): void {
    this.listener = listener;
  }

  write(message: Out): void {
    this.writeFrame(encodeFrame(this.side.outgoing, message));
  }

  /** Writes an encoded message; one encoding can serve many links. */
  writeFrame(frame: Uint8Array): void {
    if (this.isEnded || this.isFlushing) return;
    this.hasWritten = true;
    this.corkUntilNextTick();
    this.socket.write(frame);
    if (this.queuedBytes > MAX_QUEUED_BYTES) {
      this.fail('the peer does not read');
    }
  }

  /** Handles a frame, also one that was read before the link was created. */
  receiveFrame(frame: Uint8Array): void {
    if (this.isEnded || this.isFlushing || frame.length === 0) return;
    let message: In;
    try {
      message = this.side.incoming.decode(frame);
    } catch (error) {
      return this.fail(`unreadable message: ${toError(error).message}`);
    }
    this.listener?.onDidReceive(message);
  }

  /** Ends the link if it is not connected after a time. */
  setConnectTimeout(timeoutMs: number): void {
    const cancel = after(this.controller.signal, timeoutMs, () => {
      this.fail('connect timed out');
    });
    this.socket.once('connect', cancel);
  }

  /** Ends the link once all queued bytes are sent, without further events. */
  endAfterFlush(): void {
    if (this.isEnded || this.isFlushing) return;
    this.isFlushing = true;
    this.listener = undefined;
    this.socket.end();
    after(this.controller.signal, this.side.maxSilenceMs, () => this.end());
  }

  /** Ends the link at once, without further events. */
  end(): void {
    this.listener = undefined;
    this.controller.abort();
  }

  /** Sends the frames of one turn of the event loop in one segment. */
  private corkUntilNextTick(): void {
    if (this.socket.writableCorked > 0) return;
    this.socket.cork();
    process.nextTick(() => this.socket.uncork());
  }

  private onData(chunk: Buffer): void {
    this.silentChecks = 0;
    let frames: Buffer[];
    try {
      frames = this.reader.push(chunk);
    } catch (error) {
      return this.fail(`unreadable message: ${toError(error).message}`);
    }
    for (const frame of frames) this.receiveFrame(frame);
  }

  private checkSilence(): void {
    if (++this.silentChecks > MAX_SILENT_CHECKS) return this.fail('silent');
    if (!this.hasWritten) this.writeFrame(HEARTBEAT_FRAME);
    this.hasWritten = false;
  }

  private fail(reason: string): void {
    if (this.isEnded) return;
    const {listener} = this;
    this.end();
    listener?.onDidEnd(reason);
  }
}

/**
 * Above a round trip between regions, below the first SYN retransmission, so
 * that a machine that comes back is connected to sooner.
 */
const CONNECT_TIMEOUT_MS = 600;

/** Connects to a process; messages written before that are queued. */
export function openLink<Request, Response>(
  address: string,
  protocol: LinkProtocol<Request, Response>,
  signal: AbortSignal,
): MessageLink<Request, Response> {
  const {host, port} = parseAddress(address) ?? {host: '', port: 0};
  const socket = connect({host, port});
  const side = {
    outgoing: protocol.requests,
    incoming: protocol.responses,
    maxSilenceMs: protocol.maxSilenceMs,
  };
  const reader = new FrameReader();
  const link = new MessageLink<Request, Response>(
    socket,
    reader,
    side,
    signal,
    address,
  );
  link.writeFrame(encodeBytes(Buffer.from(protocol.name)));
  link.setConnectTimeout(CONNECT_TIMEOUT_MS);
  return link;
}

import {createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {parseAddress} from '../common/address';
import {err, ok, type Result} from '../common/outcome';
import type {Log} from './log';
import {FrameReader} from './message_frames';
import {MessageLink, type LinkProtocol} from './message_link';
import {toError} from './task';
import {after} from './timers';

/** Whoever connects says what it speaks within this, in milliseconds. */
const INTRODUCTION_MS = 3_000;

type Accept = (
  socket: Socket,
  reader: FrameReader,
  signal: AbortSignal,
) => {take(frame: Uint8Array): void};

/** The links that other processes open to this one, all at one port. */
export class MessageServer {
  private readonly accepts = new Map<string, Accept>();

  constructor(private readonly log: Log) {}

  /** Takes links of a protocol. */
  serve<Q, A>(
    protocol: LinkProtocol<Q, A>,
    onDidConnect: (link: MessageLink<A, Q>) => void,
  ): void {
    const side = {
      outgoing: protocol.responses,
      incoming: protocol.requests,
      silenceMs: protocol.silenceMs,
    };
    this.accepts.set(protocol.name, (socket, reader, signal) => {
      const link = new MessageLink<A, Q>(socket, reader, side, signal);
      onDidConnect(link);
      return link;
    });
  }

  /** Starts listening; the bound port. It and its links end with the signal. */
  listen(address: string, signal: AbortSignal): Promise<Result<number, Error>> {
    const {host, port} = parseAddress(address) ?? {host: '', port: 0};
    const server = createServer(socket => this.introduce(socket, signal));
    signal.addEventListener('abort', () => server.close(), {once: true});
    return new Promise(resolve => {
      server.once('error', error => resolve(err(error)));
      server.listen(port, host, () => {
        resolve(ok((server.address() as AddressInfo).port));
      });
    });
  }

  /** The first frame names the protocol. */
  private introduce(socket: Socket, signal: AbortSignal): void {
    const reader = new FrameReader();
    const refuse = (reason: string) => {
      this.log.warn('Refused a link.', {from: peerOf(socket), reason});
      socket.destroy();
    };
    const cancel = after(signal, INTRODUCTION_MS, () => refuse('silent'));
    const onError = (error: Error) => refuse(error.message);
    const onClose = () => cancel();
    const onData = (chunk: Buffer) => {
      let frames: Buffer[];
      try {
        frames = reader.push(chunk);
      } catch (error) {
        return refuse(toError(error).message);
      }
      const [name, ...rest] = frames;
      if (!name) return;
      cancel();
      socket.off('data', onData).off('error', onError).off('close', onClose);
      const accept = this.accepts.get(name.toString());
      if (!accept) {
        socket.on('error', onError);
        return refuse('unknown protocol');
      }
      const link = accept(socket, reader, signal);
      for (const frame of rest) link.take(frame);
    };
    socket.on('data', onData).on('error', onError).on('close', onClose);
  }
}

function peerOf({remoteAddress, remotePort}: Socket): string {
  return `${remoteAddress}:${remotePort}`;
}

import {createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {parseAddress} from '../common/address';
import {err, ok, type Result} from '../common/result';
import type {Log} from './log';
import {FrameReader} from './message_frames';
import {MessageLink, type LinkProtocol} from './message_link';
import {toError} from '../common/errors';
import {after} from './timers';

/** The time in which a peer must send the name of its protocol. */
const HANDSHAKE_TIMEOUT_MS = 3_000;

type Acceptor = (
  socket: Socket,
  reader: FrameReader,
  signal: AbortSignal,
) => {receiveFrame(frame: Uint8Array): void};

/** Accepts the links of other processes, of all protocols on one port. */
export class MessageServer {
  private readonly acceptors = new Map<string, Acceptor>();

  constructor(private readonly log: Log) {}

  /** Accepts links of a protocol. */
  serve<Request, Response>(
    protocol: LinkProtocol<Request, Response>,
    onDidConnect: (link: MessageLink<Response, Request>) => void,
  ): void {
    const side = {
      outgoing: protocol.responses,
      incoming: protocol.requests,
      maxSilenceMs: protocol.maxSilenceMs,
    };
    this.acceptors.set(protocol.name, (socket, reader, signal) => {
      const link = new MessageLink<Response, Request>(
        socket,
        reader,
        side,
        signal,
      );
      onDidConnect(link);
      return link;
    });
  }

  /** Starts listening; resolves to the port. The signal also ends all links. */
  listen(address: string, signal: AbortSignal): Promise<Result<number, Error>> {
    const {host, port} = parseAddress(address) ?? {host: '', port: 0};
    const server = createServer(socket => this.handshake(socket, signal));
    signal.addEventListener('abort', () => server.close(), {once: true});
    return new Promise(resolve => {
      server.once('error', error => resolve(err(error)));
      server.listen(port, host, () => {
        resolve(ok((server.address() as AddressInfo).port));
      });
    });
  }

  /** Reads the first frame, which names the protocol. */
  private handshake(socket: Socket, signal: AbortSignal): void {
    const reader = new FrameReader();
    const reject = (reason: string) => {
      this.log.warn('Rejected an incoming link.', {
        from: formatPeer(socket),
        reason,
      });
      socket.destroy();
    };
    const cancel = after(signal, HANDSHAKE_TIMEOUT_MS, () =>
      reject('no protocol name in time'),
    );
    const onError = (error: Error) => reject(error.message);
    const onClose = () => cancel();
    const onData = (chunk: Buffer) => {
      let frames: Buffer[];
      try {
        frames = reader.push(chunk);
      } catch (error) {
        return reject(toError(error).message);
      }
      const [name, ...rest] = frames;
      if (!name) return;
      cancel();
      socket.off('data', onData).off('error', onError).off('close', onClose);
      const accept = this.acceptors.get(name.toString());
      if (!accept) {
        socket.on('error', onError);
        return reject('unknown protocol');
      }
      const link = accept(socket, reader, signal);
      for (const frame of rest) link.receiveFrame(frame);
    };
    socket.on('data', onData).on('error', onError).on('close', onClose);
  }
}

function formatPeer({remoteAddress, remotePort}: Socket): string {
  return `${remoteAddress}:${remotePort}`;
}

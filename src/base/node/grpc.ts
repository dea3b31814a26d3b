import {
  credentials,
  Server,
  ServerCredentials,
  type ChannelOptions,
} from '@grpc/grpc-js';
import {err, ok, type Result} from '../common/outcome';

const MOST_MESSAGE_BYTES = 64 * 1024 * 1024;

/**
 * Links between the system's processes. Guard against a silent cut: a peer
 * that vanishes without closing would hold a stream open for minutes; the
 * keepalive closes it within seconds, and connecting starts over quickly.
 */
export const LINK_OPTIONS: ChannelOptions = {
  'grpc.keepalive_time_ms': 1_000,
  'grpc.keepalive_timeout_ms': 1_000,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.http2.min_time_between_pings_ms': 500,
  'grpc.initial_reconnect_backoff_ms': 50,
  'grpc.min_reconnect_backoff_ms': 50,
  'grpc.max_reconnect_backoff_ms': 400,
  'grpc.max_receive_message_length': MOST_MESSAGE_BYTES,
  'grpc.max_send_message_length': MOST_MESSAGE_BYTES,
  // Each client has its own connection: a broken one hurts one owner.
  'grpc.use_local_subchannel_pool': 1,
};

/** The place where TLS between the system's processes will be set. */
export const LINK_CREDENTIALS = credentials.createInsecure();

/** A gRPC server of one process. */
export function createServer(): Server {
  return new Server(LINK_OPTIONS);
}

/** Starts listening; the bound port. The server closes with the signal. */
export function listen(
  server: Server,
  address: string,
  signal: AbortSignal,
): Promise<Result<number, Error>> {
  signal.addEventListener('abort', () => server.forceShutdown(), {once: true});
  return new Promise(resolve => {
    server.bindAsync(
      address,
      ServerCredentials.createInsecure(),
      (error, port) => resolve(error ? err(error) : ok(port)),
    );
  });
}

/** The time at which a call that starts now is given up. */
export function deadlineIn(milliseconds: number): Date {
  return new Date(Date.now() + milliseconds);
}

import {
  credentials,
  Server,
  ServerCredentials,
  type ChannelOptions,
} from '@grpc/grpc-js';
import {err, ok, type Result} from '../common/result';

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/**
 * Options of channels and servers between the system's processes.
 *
 * Guard: after a network partition a stream would stay open for minutes. The
 * keepalive closes it within seconds, and the channel reconnects quickly.
 */
export const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.keepalive_time_ms': 1_000,
  'grpc.keepalive_timeout_ms': 1_000,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.http2.min_time_between_pings_ms': 500,
  'grpc.initial_reconnect_backoff_ms': 50,
  'grpc.min_reconnect_backoff_ms': 50,
  'grpc.max_reconnect_backoff_ms': 400,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  // Gives each client its own connection, so that a failure affects only one.
  'grpc.use_local_subchannel_pool': 1,
};

/** Credentials of all channels; TLS between processes would be set here. */
export const CHANNEL_CREDENTIALS = credentials.createInsecure();

/** Creates a gRPC server with the options of the system's processes. */
export function createServer(): Server {
  return new Server(CHANNEL_OPTIONS);
}

/** Starts listening; resolves to the port. The signal shuts the server down. */
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

/** The deadline of a call that starts now, for gRPC options. */
export function deadlineIn(milliseconds: number): Date {
  return new Date(Date.now() + milliseconds);
}

import {Metadata, type ServiceError} from '@grpc/grpc-js';
import {err, ok, type Result} from '../../base/common/result';
import {
  deadlineIn,
  CHANNEL_CREDENTIALS,
  CHANNEL_OPTIONS,
} from '../../base/node/grpc';
import {
  ControlClient,
  type ChangeOutcome,
  type OperatorReply,
  type StatusReply,
} from '../../schema/generated/control';

const CALL_TIMEOUT_MS = 2_000;
const MAX_ROUNDS = 15;
const ROUND_INTERVAL_MS = 200;

type Callback<T> = (error: ServiceError | null, reply: T) => void;

/** Starts one call on a client. */
export type Call<T> = (
  client: ControlClient,
  metadata: Metadata,
  options: {deadline: Date},
  callback: Callback<T>,
) => void;

/** Calls of an operator to the control leader. */
export class ControlCalls {
  private readonly clients = new Map<string, ControlClient>();

  constructor(private readonly addresses: readonly string[]) {}

  close(): void {
    for (const client of this.clients.values()) client.close();
  }

  /**
   * Sends a change until the leader replies. Retries are safe: a change with a
   * known id gets its recorded outcome.
   */
  async submitChange(
    call: Call<OperatorReply>,
  ): Promise<Result<ChangeOutcome, string>> {
    for (let round = 0; round < MAX_ROUNDS; round++) {
      for (const address of this.addresses) {
        const reply = await this.send(address, call);
        if (reply.isOk && reply.value.outcome) return ok(reply.value.outcome);
      }
      await new Promise(resolve => setTimeout(resolve, ROUND_INTERVAL_MS));
    }
    return err('no control leader replied; the same command can be retried');
  }

  /** The status from the leader, or from any instance if there is none. */
  async fetchStatus(): Promise<Result<StatusReply, string>> {
    let fallback: StatusReply | undefined;
    for (const address of this.addresses) {
      const reply = await this.send<StatusReply>(address, (client, ...rest) => {
        client.status({}, ...rest);
      });
      if (reply.isErr) continue;
      if (reply.value.leader) return ok(reply.value);
      fallback ??= reply.value;
    }
    return fallback ? ok(fallback) : err('no control instance replied');
  }

  private send<T>(
    address: string,
    call: Call<T>,
  ): Promise<Result<T, ServiceError>> {
    const client = this.clientFor(address);
    const options = {deadline: deadlineIn(CALL_TIMEOUT_MS)};
    return new Promise(resolve => {
      call(client, new Metadata(), options, (error, reply) => {
        resolve(error ? err(error) : ok(reply));
      });
    });
  }

  private clientFor(address: string): ControlClient {
    const existing = this.clients.get(address);
    if (existing) return existing;
    const client = new ControlClient(
      address,
      CHANNEL_CREDENTIALS,
      CHANNEL_OPTIONS,
    );
    this.clients.set(address, client);
    return client;
  }
}

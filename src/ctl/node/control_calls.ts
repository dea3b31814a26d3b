import {Metadata, type ServiceError} from '@grpc/grpc-js';
import {err, ok, type Result} from '../../base/common/outcome';
import {deadlineIn, LINK_CREDENTIALS, LINK_OPTIONS} from '../../base/node/grpc';
import {
  ControlClient,
  type ChangeOutcome,
  type OperatorReply,
  type StatusReply,
} from '../../schema/generated/control';

const CALL_MS = 2_000;
const ROUNDS = 15;
const ROUND_PAUSE_MS = 200;

type Callback<T> = (error: ServiceError | null, reply: T) => void;

/** Sends one call through a client. */
export type Call<T> = (
  client: ControlClient,
  metadata: Metadata,
  options: {deadline: Date},
  callback: Callback<T>,
) => void;

/** Operators' calls to whichever control instance leads. */
export class ControlCalls {
  private readonly clients = new Map<string, ControlClient>();

  constructor(private readonly addresses: readonly string[]) {}

  close(): void {
    for (const client of this.clients.values()) client.close();
  }

  /**
   * Sends a change until the leader answers. Sending it again is safe: it has
   * a change id, and the same id gets the first answer.
   */
  async change(
    call: Call<OperatorReply>,
  ): Promise<Result<ChangeOutcome, string>> {
    for (let round = 0; round < ROUNDS; round++) {
      for (const address of this.addresses) {
        const reply = await this.send(address, call);
        if (reply.isOk && reply.value.outcome) return ok(reply.value.outcome);
      }
      await new Promise(resolve => setTimeout(resolve, ROUND_PAUSE_MS));
    }
    return err('no control leader answered; the same command may be repeated');
  }

  /** What the leader says, or where there is none what any instance says. */
  async status(): Promise<Result<StatusReply, string>> {
    let any: StatusReply | undefined;
    for (const address of this.addresses) {
      const reply = await this.send<StatusReply>(address, (client, ...rest) => {
        client.status({}, ...rest);
      });
      if (reply.isErr) continue;
      if (reply.value.leader) return ok(reply.value);
      any ??= reply.value;
    }
    return any ? ok(any) : err('no control instance answered');
  }

  private send<T>(
    address: string,
    call: Call<T>,
  ): Promise<Result<T, ServiceError>> {
    const client = this.clientOf(address);
    const options = {deadline: deadlineIn(CALL_MS)};
    return new Promise(resolve => {
      call(client, new Metadata(), options, (error, reply) => {
        resolve(error ? err(error) : ok(reply));
      });
    });
  }

  private clientOf(address: string): ControlClient {
    const known = this.clients.get(address);
    if (known) return known;
    const client = new ControlClient(address, LINK_CREDENTIALS, LINK_OPTIONS);
    this.clients.set(address, client);
    return client;
  }
}

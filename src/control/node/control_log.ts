import type {Result} from '../../base/common/result';
import {detach} from '../../base/node/broken_invariant';
import type {RefusalReason} from '../../services/consensus/common/consensus_types';
import type {ConsensusNode} from '../../services/consensus/node/consensus_node';
import {Command} from '../../schema/generated/control';

type Body = NonNullable<Command['body']>;

/** Proposes commands to the replicated log, one at a time per purpose. */
export class ControlLog {
  private readonly pending = new Set<string>();

  constructor(private readonly node: ConsensusNode) {}

  /** Proposes a command; resolves to its log index once it is committed. */
  propose(body: Body): Promise<Result<number, RefusalReason>> {
    const command = {wallTimeMs: Date.now(), body};
    const bytes = Command.encode(command).finish();
    return this.node.propose(Buffer.from(bytes));
  }

  /** Whether a proposal for the purpose is pending. */
  isPending(purpose: string): boolean {
    return this.pending.has(purpose);
  }

  /** Proposes a command; false if one for the purpose is already pending. */
  proposeOnce(purpose: string, body: Body): boolean {
    if (this.pending.has(purpose)) return false;
    this.pending.add(purpose);
    detach(
      'proposal',
      this.propose(body).then(() => this.pending.delete(purpose)),
    );
    return true;
  }
}

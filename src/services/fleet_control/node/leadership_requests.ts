import {err} from '../../../base/common/result';
import type {ConsensusNode} from '../../consensus/node/consensus_node';
import type {RequestOutcome} from '../../consensus/node/open_requests';

/**
 * Requests to the consensus group during one leadership.
 *
 * Guard: if the same instance leads again, the group would commit what a task
 * of the earlier leadership decided, though another leader decided in between.
 */
export class LeadershipRequests {
  constructor(
    private readonly node: Pick<
      ConsensusNode,
      'propose' | 'isLeadershipConfirmed'
    >,
    private readonly signal: AbortSignal,
  ) {}

  /** Proposes a command; refused once the leadership ended. */
  propose(command: Buffer): Promise<RequestOutcome> {
    if (this.signal.aborted) return Promise.resolve(err('leadership lost'));
    return this.node.propose(command);
  }

  /** Whether a majority confirms that this leadership goes on. */
  async isLeadershipConfirmed(): Promise<boolean> {
    if (this.signal.aborted) return false;
    const isConfirmed = await this.node.isLeadershipConfirmed();
    return isConfirmed && !this.signal.aborted;
  }
}

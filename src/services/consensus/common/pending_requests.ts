import type {RequestId} from './consensus_types';

/** A proposed entry that is not committed yet. */
export interface PendingProposal {
  readonly requestId: RequestId;
  readonly index: number;
  readonly term: number;
}

/** A request to confirm leadership, which waits for a heartbeat round. */
export interface PendingConfirmation {
  readonly requestId: RequestId;
  readonly round: number;
  /** The commit index when it was requested. */
  readonly index: number;
}

/** Pending proposals and confirmations of a leader. */
export class PendingRequests {
  private readonly proposals = new Map<number, PendingProposal>();
  private confirmations: PendingConfirmation[] = [];

  get hasConfirmations(): boolean {
    return this.confirmations.length > 0;
  }

  addProposal(proposal: PendingProposal): void {
    this.proposals.set(proposal.index, proposal);
  }

  addConfirmation(confirmation: PendingConfirmation): void {
    this.confirmations.push(confirmation);
  }

  /** Removes and returns the proposal at a log index. */
  takeProposal(index: number): PendingProposal | undefined {
    const proposal = this.proposals.get(index);
    this.proposals.delete(index);
    return proposal;
  }

  /** Removes and returns the confirmations that a finished round completes. */
  takeConfirmations(round: number): PendingConfirmation[] {
    const completed = this.confirmations.filter(item => item.round <= round);
    this.confirmations = this.confirmations.filter(item => item.round > round);
    return completed;
  }

  /** Removes all requests and returns their ids. */
  takeAll(): RequestId[] {
    const all = [...this.proposals.values(), ...this.confirmations];
    this.proposals.clear();
    this.confirmations = [];
    return all.map(({requestId}) => requestId);
  }
}

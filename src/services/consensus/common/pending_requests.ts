import type {RequestId} from './consensus_types';

/** A command that waits to be committed. */
export interface PendingProposal {
  readonly ticket: RequestId;
  readonly index: number;
  readonly term: number;
}

/** A question for proof of leadership that waits for a heartbeat round. */
export interface PendingConfirmation {
  readonly ticket: RequestId;
  readonly round: number;
  /** The commit index when it was asked. */
  readonly index: number;
}

/** What callers of a leader wait for. */
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

  /** Takes out the proposal of a log index. */
  takeProposal(index: number): PendingProposal | undefined {
    const proposal = this.proposals.get(index);
    this.proposals.delete(index);
    return proposal;
  }

  /** Takes out the confirmations that a finished round settles. */
  takeConfirmations(round: number): PendingConfirmation[] {
    const due = this.confirmations.filter(item => item.round <= round);
    this.confirmations = this.confirmations.filter(item => item.round > round);
    return due;
  }

  /** Takes out everything. */
  takeAll(): RequestId[] {
    const all = [...this.proposals.values(), ...this.confirmations];
    this.proposals.clear();
    this.confirmations = [];
    return all.map(({ticket}) => ticket);
  }
}

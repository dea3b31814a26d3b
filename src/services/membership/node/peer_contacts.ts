import type {Clock} from '../../../base/common/clock';
import type {ConsensusMessage} from '../../../schema/generated/consensus';
import type {Consensus} from '../../consensus/common/consensus';

/** The newest reply of an instance to a request for its vote. */
interface VoteAnswer {
  readonly granted: boolean;
  readonly at: number;
}

/** Upper bound of remembered instances; each new data folder is another one. */
const MAX_INSTANCES = 64;

/** Records what this instance received from the others of its group. */
export class PeerContacts {
  private readonly answers = new Map<string, VoteAnswer>();
  private leaderAt = -Infinity;

  constructor(
    private readonly core: Pick<Consensus, 'id' | 'currentTerm'>,
    private readonly clock: Clock,
  ) {}

  /** When a leader was last heard; -Infinity if none was. */
  get leaderHeardAt(): number {
    return this.leaderAt;
  }

  /** Records a message before the consensus core handles it. */
  record({from, to, term, body}: ConsensusMessage): void {
    if (!body || to !== this.core.id) return;
    const at = this.clock.now();
    switch (body.$case) {
      case 'appendRequest':
      case 'snapshotRequest':
        if (term >= this.core.currentTerm) this.leaderAt = at;
        return;
      case 'voteReply':
        return this.recordAnswer(from, {granted: body.value.granted, at});
      default:
        return;
    }
  }

  /** Whether an instance granted its vote since a moment; undefined if silent. */
  voteSince(id: string, minAt: number): boolean | undefined {
    const answer = this.answers.get(id);
    return answer && answer.at >= minAt ? answer.granted : undefined;
  }

  private recordAnswer(from: string, answer: VoteAnswer): void {
    this.answers.delete(from);
    this.answers.set(from, answer);
    if (this.answers.size <= MAX_INSTANCES) return;
    const [oldest] = this.answers.keys();
    this.answers.delete(oldest!);
  }
}

import {isVoter} from './configuration';
import type {Consensus} from './consensus';

/** Longer than an election usually takes. */
const VOTER_PATIENCE_MS = 2_000;

/** Tells whether an instance has to ask to join its group. */
export class MembershipWatch {
  private leaderKnownAt: number | undefined;

  constructor(
    private readonly core: Pick<Consensus, 'id' | 'leader' | 'configuration'>,
    private readonly address: string,
  ) {}

  /**
   * Whether the instance is outside the group; called periodically.
   *
   * Guard: its own log does not tell. The entry that added it may have been
   * truncated by another leader, and an instance that was cut off never gets
   * the entry that removed it. A leader sends to the peers of its configuration
   * only, so hearing one does.
   */
  isOutside(now: number): boolean {
    this.leaderKnownAt ??= now;
    if (this.core.leader !== '') {
      this.leaderKnownAt = now;
      return false;
    }
    return !this.isVoter || now - this.leaderKnownAt >= VOTER_PATIENCE_MS;
  }

  private get isVoter(): boolean {
    const {core, address} = this;
    const self = core.configuration.peers.find(({id}) => id === core.id);
    return self?.address === address && isVoter(core.configuration, core.id);
  }
}

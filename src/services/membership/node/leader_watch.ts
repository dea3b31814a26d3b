import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import {every} from '../../../base/node/timers';
import type {Consensus} from '../../consensus/common/consensus';
import {voterIds} from '../common/configuration_change';
import type {PeerContacts} from './peer_contacts';

/** The part of the consensus core that is watched. */
export type WatchedCore = Pick<
  Consensus,
  'id' | 'role' | 'leader' | 'currentTerm' | 'configuration'
>;

const CHECK_INTERVAL_MS = 500;
/** Time without a leader before a line, and between two of them. */
const LINE_INTERVAL_MS = 2_000;

/**
 * Logs which other instance leads, that this instance is without a leader, and
 * who does not vote.
 */
export class LeaderWatch {
  private knownAt: number;
  private loggedAt = -Infinity;
  /** Whether the present time without a leader was logged. */
  private isLogged = false;
  /** The term and leader of the last line that names one. */
  private namedLeader = '';

  constructor(
    private readonly core: WatchedCore,
    private readonly contacts: PeerContacts,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.knownAt = clock.now();
  }

  start(signal: AbortSignal): void {
    every(signal, CHECK_INTERVAL_MS, () => this.check());
  }

  /** Time since this instance led or heard a leader, in milliseconds. */
  leaderlessMs(): number {
    const now = this.clock.now();
    if (this.core.role === 'leader') this.knownAt = now;
    this.knownAt = Math.max(this.knownAt, this.contacts.leaderHeardAt);
    return now - this.knownAt;
  }

  /** Logs at most one line for each interval without a leader. */
  check(): void {
    this.logLeader();
    const leaderlessMs = this.leaderlessMs();
    const {role, currentTerm: term} = this.core;
    if (leaderlessMs < LINE_INTERVAL_MS) {
      if (this.isLogged) this.log.info('There is a leader.', {role, term});
      this.isLogged = false;
      return;
    }
    const now = this.clock.now();
    if (now - this.loggedAt < LINE_INTERVAL_MS) return;
    this.loggedAt = now;
    this.isLogged = true;
    const fields = {role, term, leaderlessMs: Math.round(leaderlessMs)};
    const voters = voterIds(this.core.configuration);
    if (voters.includes(this.core.id)) {
      this.log.warn('No majority of votes.', {
        ...fields,
        ...this.votes(voters, now - LINE_INTERVAL_MS),
      });
    } else {
      const known = voters.join(' ');
      this.log.warn('No leader was heard, and this instance is no voter.', {
        ...fields,
        voters: known,
      });
    }
  }

  /** Logs a new leader, also at instances whose role stays the same. */
  private logLeader(): void {
    const {id, leader, currentTerm: term, configuration} = this.core;
    const name = `${term} ${leader}`;
    if (leader === '' || leader === id || name === this.namedLeader) return;
    this.namedLeader = name;
    const peer = configuration.peers.find(other => other.id === leader);
    const address = peer?.address ?? '';
    this.log.info('Another instance leads.', {leader, address, term});
  }

  private votes(voters: readonly string[], minAt: number) {
    const others = voters.filter(id => id !== this.core.id);
    const idsWith = (vote: boolean | undefined) =>
      others
        .filter(id => this.contacts.voteSince(id, minAt) === vote)
        .join(' ');
    return {
      granted: idsWith(true),
      refused: idsWith(false),
      silent: idsWith(undefined),
    };
  }
}

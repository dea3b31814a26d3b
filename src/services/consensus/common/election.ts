import type {SeededRandom} from '../../../base/common/random';
import type {Configuration} from '../../../schema/generated/consensus';
import {hasMajority} from './configuration';

/**
 * Fraction of the election timeout after which a process that just started
 * retries its pre-votes. It covers two round trips between regions.
 */
const STARTUP_PRE_VOTE_FRACTION = 0.25;
/** Longer for votes, as a retry needs another term. */
const STARTUP_VOTE_FRACTION = 0.6;
/** Number of election timeouts for which a process counts as just started. */
const STARTUP_TIMEOUT_COUNT = 4;

/** The election timer of an instance and the votes granted to it. */
export class Election {
  private deadline = 0;
  private startedAt: number | undefined;
  private isPreVoting = false;
  private preVotes = new Set<string>();
  private termVotes: Set<string> | undefined;

  constructor(
    private readonly electionMs: number,
    private readonly random: SeededRandom,
  ) {}

  get isStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /** Whether the votes are pre-votes, which change no term. */
  get isPreVote(): boolean {
    return this.isPreVoting;
  }

  /**
   * Makes an election due at once. After a common restart, the instance that
   * completes the majority then becomes leader without a timeout; if there is a
   * leader already, its followers grant no pre-vote.
   */
  start(now: number): void {
    this.startedAt = now;
    this.deadline = now;
  }

  /** Shortens the timer of a process that just started and knows no leader. */
  retrySoon(now: number): void {
    const fraction = this.isPreVoting
      ? STARTUP_PRE_VOTE_FRACTION
      : STARTUP_VOTE_FRACTION;
    const sinceStart = now - (this.startedAt ?? now);
    if (sinceStart >= this.electionMs * STARTUP_TIMEOUT_COUNT) return;
    this.deadline = now + this.electionMs * fraction;
  }

  /** Draws a random timeout, so that elections rarely coincide. */
  resetTimer(now: number): void {
    this.deadline = now + this.electionMs * (1 + this.random.fraction());
  }

  isDue(now: number): boolean {
    return now >= this.deadline;
  }

  beginPreVote(self: string): void {
    this.isPreVoting = true;
    this.preVotes = new Set([self]);
  }

  /** Begins the votes of a new term. */
  beginVote(self: string): void {
    this.isPreVoting = false;
    this.termVotes = new Set([self]);
  }

  /** Whether a majority would vote for this instance in the next term. */
  isPreVoteWon(configuration: Configuration): boolean {
    return hasMajority(configuration, this.preVotes);
  }

  addPreVote(id: string): void {
    this.preVotes.add(id);
  }

  /**
   * Whether a majority voted for this instance in the current term. Votes also
   * count during the pre-votes for the next term, as replies may take longer
   * than the timer.
   */
  isVoteWon(configuration: Configuration): boolean {
    return !!this.termVotes && hasMajority(configuration, this.termVotes);
  }

  addVote(id: string): void {
    this.termVotes?.add(id);
  }

  /**
   * Ends the votes of the term. An instance that follows a leader may receive
   * another configuration, for which the votes do not count.
   */
  endVote(): void {
    this.termVotes = undefined;
  }
}

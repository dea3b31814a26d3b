import type {SeededRandom} from '../../../base/common/random';

/**
 * A process that just started asks for pre-votes again after this part of the
 * usual least wait: a peer may have come up, and two that stood at the same
 * moment settle it by their ids. It is two ways between regions and back.
 */
const FIRST_REPEAT = 0.25;
/**
 * Votes are waited for longer: given up earlier, they would come for a term
 * that is over, and the next try would need another one.
 */
const FIRST_VOTE_WAIT = 0.6;
/** A process counts as just started for so many usual waits. */
const FIRST_WAITS = 4;

/** When an instance stands for election, and the votes it has. */
export class Election {
  private deadline = 0;
  private startedAt: number | undefined;
  private pre = false;
  private granted = new Set<string>();

  constructor(
    private readonly electionMs: number,
    private readonly random: SeededRandom,
  ) {}

  /** Whether the timer runs, from the first event on. */
  get isStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /** The votes are for a pre-vote, which changes no term. */
  get isPre(): boolean {
    return this.pre;
  }

  get votes(): ReadonlySet<string> {
    return this.granted;
  }

  /**
   * A process asks for pre-votes as soon as it runs. After a common restart
   * the one that completes the majority is answered by all that wait, and
   * leads two round trips later; where somebody leads, the others hear it and
   * grant nothing. Waits by place took 0.4 s until one led.
   */
  start(now: number): void {
    this.startedAt = now;
    this.deadline = now;
  }

  /** After a try of a process that just started, and heard no leader. */
  repeatSoon(now: number): void {
    const part = this.pre ? FIRST_REPEAT : FIRST_VOTE_WAIT;
    const sinceStart = now - (this.startedAt ?? now);
    if (sinceStart >= this.electionMs * FIRST_WAITS) return;
    this.deadline = now + this.electionMs * part;
  }

  /** Waits a time drawn anew, so that two instances rarely stand at once. */
  resetTimer(now: number): void {
    this.deadline = now + this.electionMs * (1 + this.random.fraction());
  }

  isDue(now: number): boolean {
    return now >= this.deadline;
  }

  begin(pre: boolean, self: string): void {
    this.pre = pre;
    this.granted = new Set([self]);
  }

  addVote(id: string): void {
    this.granted.add(id);
  }
}

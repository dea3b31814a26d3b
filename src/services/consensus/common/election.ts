import type {SeededRandom} from '../../../base/common/random';

/**
 * The first waits of a process, as parts of the usual least wait: that of the
 * voter that comes first, and the step to each next one. The step is more than
 * an election takes between regions (some 100 ms of 350), so that the first
 * one that is up wins alone; with random waits three instances of a common
 * restart stood within 30 ms, and 0.4 s passed until one led.
 */
const FIRST_WAIT = 0.1;
const FIRST_WAIT_STEP = 0.4;
/** Peers of a common restart may not listen yet: pre-votes are repeated. */
const FIRST_REPEAT = 0.25;
/** A process counts as just started for so many usual waits. */
const FIRST_WAITS = 4;

/** When an instance stands for election, and the votes it has. */
export class Election {
  private deadline = 0;
  private startedAt = 0;
  private pre = false;
  private granted = new Set<string>();

  constructor(
    private readonly electionMs: number,
    private readonly random: SeededRandom,
  ) {}

  /** Whether the timer runs, from the first event on. */
  get isStarted(): boolean {
    return this.deadline !== 0;
  }

  /** The votes are for a pre-vote, which changes no term. */
  get isPre(): boolean {
    return this.pre;
  }

  get votes(): ReadonlySet<string> {
    return this.granted;
  }

  /**
   * Starts the timer at the first event, for a time by the place among the
   * voters: after a common restart nobody leads, and where somebody does, the
   * others hear it and grant no pre-vote.
   */
  startTimer(now: number, place: number): void {
    this.startedAt = now;
    const part = Math.min(1, FIRST_WAIT + FIRST_WAIT_STEP * place);
    this.deadline = now + this.electionMs * part;
  }

  /** After a pre-vote of a process that just started, and heard no leader. */
  repeatSoon(now: number): void {
    if (now - this.startedAt >= this.electionMs * FIRST_WAITS) return;
    this.deadline = now + this.electionMs * FIRST_REPEAT;
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

import type {SeededRandom} from '../../../base/common/random';

/** The first wait of a process, as parts of the usual least wait. */
const FIRST_WAIT_LEAST = 0.3;
const FIRST_WAIT_SPREAD = 0.7;

/** When an instance stands for election, and the votes it has. */
export class Election {
  private deadline = 0;
  private pre = false;
  private granted = new Set<string>();

  constructor(
    private readonly electionMs: number,
    private readonly random: SeededRandom,
  ) {}

  /** The votes are for a pre-vote, which changes no term. */
  get isPre(): boolean {
    return this.pre;
  }

  get votes(): ReadonlySet<string> {
    return this.granted;
  }

  /**
   * Starts the timer at the first event, for a part of the usual wait: after a
   * common restart nobody leads, and where somebody does, the others hear it
   * and grant no pre-vote.
   */
  startTimer(now: number): void {
    if (this.deadline !== 0) return;
    const part = FIRST_WAIT_LEAST + FIRST_WAIT_SPREAD * this.random.fraction();
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

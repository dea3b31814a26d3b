import type {LogEntry, Snapshot} from '../../../../schema/generated/consensus';
import type {Effect, RequestId} from '../../common/consensus_types';

/** What an outcome of a request has to respect, as known when it was made. */
interface Requirement {
  /** The newest term in which an instance is known to have led. */
  readonly minTerm: number;
  /** The highest index that is known to be committed. */
  readonly minIndex: number;
  /** Set for proposals. */
  readonly command: string | undefined;
}

/**
 * The entries, confirmations and proposals of a group in the order of real
 * time. Finds what contradicts one log with one leader at a time.
 */
export class ConsensusHistory {
  readonly violations: string[] = [];
  private readonly committed = new Map<number, string>();
  private readonly terms = new Map<number, number>();
  private readonly leaders = new Map<number, string>();
  private readonly requirements = new Map<RequestId, Requirement>();
  /** The first and last index that each term's leader reported. */
  private readonly reported = new Map<number, {first: number; last: number}>();
  private lastCommitted = 0;
  private lastProvenTerm = 0;
  private confirmedCount = 0;
  private reportedCount = 0;

  /** Number of terms that had a leader. */
  get leaderCount(): number {
    return this.leaders.size;
  }

  /** Number of confirmations and of reported proposals that were checked. */
  get outcomeCounts(): {confirmed: number; committed: number} {
    return {confirmed: this.confirmedCount, committed: this.reportedCount};
  }

  /** Records a confirmation or proposal when its caller makes it. */
  onRequest(id: RequestId, command?: string): void {
    const {lastProvenTerm: minTerm, lastCommitted: minIndex} = this;
    this.requirements.set(id, {minTerm, minIndex, command});
  }

  onLeader(member: string, term: number): void {
    const known = this.leaders.get(term) ?? member;
    if (known !== member) {
      this.violations.push(`term ${term} has leaders ${known} and ${member}`);
    }
    this.leaders.set(term, member);
  }

  /** Checks the outcome of a request; `term` is that of its leader. */
  onOutcome(member: string, effect: Effect, term: number): void {
    if (effect.kind === 'confirmed') {
      this.onConfirmed(member, effect.requestId, effect.index, term);
    } else if (effect.kind === 'committed') {
      this.onCommitted(member, effect.requestId, effect.index, term);
    }
  }

  /** Checks an entry that an instance applies after those before. */
  onApply(member: string, entry: LogEntry, appliedIndex: number): void {
    const {index, term} = entry;
    const content = contentOf(entry);
    const known = this.committed.get(index) ?? content;
    if (known !== content) {
      this.violations.push(`index ${index}: ${known} and ${content}`);
    }
    if (index !== appliedIndex + 1) {
      this.violations.push(`${member} applied ${index} out of order`);
    }
    this.committed.set(index, content);
    this.terms.set(index, term);
    this.lastCommitted = Math.max(this.lastCommitted, index);
    this.lastProvenTerm = Math.max(this.lastProvenTerm, term);
  }

  /** Checks that a snapshot ends with a committed entry. */
  onSnapshot(member: string, {index, term}: Snapshot): void {
    const known = this.terms.get(index) ?? term;
    if (known === term) return;
    this.violations.push(
      `${member} installed ${index} of term ${term}, not ${known}`,
    );
  }

  /** Guard: a leader that was replaced would act on what it knew last. */
  private onConfirmed(
    member: string,
    id: RequestId,
    index: number,
    term: number,
  ): void {
    const {minTerm, minIndex} = this.requirements.get(id)!;
    this.confirmedCount++;
    if (term < minTerm) {
      this.violations.push(
        `${member} confirmed term ${term} after a leader of term ${minTerm}`,
      );
    }
    if (index < minIndex) {
      this.violations.push(`${member} confirmed a state that was old`);
    }
    this.lastProvenTerm = Math.max(this.lastProvenTerm, term);
  }

  /**
   * Guard: indices are fencing tokens, which have to rise with each proposal
   * and each leader.
   */
  private onCommitted(
    member: string,
    id: RequestId,
    index: number,
    term: number,
  ): void {
    const {minIndex, command} = this.requirements.get(id)!;
    this.reportedCount++;
    const content = this.committed.get(index);
    // Changes of the configuration have no text.
    if (command !== undefined && content !== commandContent(term, command)) {
      this.violations.push(`${member} reported ${command}, not ${content}`);
    }
    if (index <= minIndex) {
      this.violations.push(`${member} reported ${index} after ${minIndex}`);
    }
    this.checkOrderOfTerms(member, index, term);
    const {first, last} = this.reported.get(term) ?? {first: index, last: 0};
    if (index <= last) {
      this.violations.push(`${member} reported ${index} after ${last}`);
    }
    this.reported.set(term, {first, last: Math.max(last, index)});
  }

  private checkOrderOfTerms(member: string, index: number, term: number): void {
    for (const [other, {first, last}] of this.reported) {
      const isInOrder =
        other === term || (other < term ? last < index : index < first);
      if (isInOrder) continue;
      this.violations.push(
        `${member} reported ${index} in term ${term}, term ${other} ` +
          `reported ${first} to ${last}`,
      );
    }
  }
}

function contentOf({term, payload}: LogEntry): string {
  if (payload?.$case === 'command') {
    return commandContent(term, payload.value.toString());
  }
  return `${term}:${payload?.$case}`;
}

function commandContent(term: number, command: string): string {
  return `${term}:command:${command}`;
}

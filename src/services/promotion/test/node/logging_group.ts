import type {Member} from '../../../../schema/generated/fleet';
import type {Position} from '../../../position/common/position';
import {
  DONE_LOCALLY,
  failure,
  type StatementResult,
  type TargetStatement,
} from '../../../statement/common/statement';
import type {MemberStatus} from '../../../target_link/common/member_status';
import {SimulatedGroup, SimulatedMember} from './simulated_group';

interface Entry {
  readonly commit: number;
  readonly term: number;
}

/** A member with a log of commits. */
export class LoggingMember extends SimulatedMember {
  override position: Position = {term: 1, offset: 1};
  log: readonly Entry[] = [{commit: 0, term: 1}];
  isUp = true;
  /** The term at which it was stopped; 0 if it receives. */
  stoppedTerm = 0;
  isDraining = false;
  /** Whether it receives nothing for now, though it may. */
  isLagging = false;
  /** Whether it has no free slot for commands. */
  isBusy = false;
  /** Whether only proxies that are partitioned from control reach it. */
  isHidden = false;

  override get record(): Member {
    return {...super.record, draining: this.isDraining};
  }

  get isPaused(): boolean {
    return this.stoppedTerm > 0;
  }

  get status(): MemberStatus {
    const {isPrimary, term, stoppedTerm, position: receivedPosition} = this;
    return {isPrimary, term, stoppedTerm, receivedPosition};
  }

  get canReceive(): boolean {
    return this.isUp && !this.isPaused && !this.isLagging;
  }

  get term(): number {
    return this.position.term;
  }

  /** The reply tells the status at the time of the command. */
  override run(statement: TargetStatement): StatementResult {
    if (statement.kind === 'reset') return DONE_LOCALLY;
    if (this.isBusy) return failure('busy', 'no free slot');
    this.obey(statement);
    const rows = [JSON.stringify(this.status)];
    return {kind: 'done', rows, signature: ''};
  }

  private obey(statement: TargetStatement): void {
    if (statement.kind === 'resume') this.stoppedTerm = 0;
    if (statement.kind !== 'pause' && statement.kind !== 'stepDown') return;
    if (statement.term <= this.term) return;
    if (statement.kind === 'stepDown') this.isPrimary = false;
    else if (!this.isPrimary) this.stoppedTerm = statement.term;
  }

  holds(commit: number): boolean {
    return this.log.some(entry => entry.commit === commit);
  }

  append(commit: number, term = this.term): void {
    this.replaceLog([...this.log, {commit, term}]);
  }

  replaceLog(log: readonly Entry[]): void {
    this.log = log;
    this.position = {term: log.at(-1)!.term, offset: log.length};
  }

  crash(): void {
    this.isUp = false;
    this.isSilent = true;
  }

  /** It comes back with its log; a restart ends a pause. */
  recover(): void {
    if (!this.isUp) this.stoppedTerm = 0;
    this.isUp = true;
    this.isSilent = false;
    this.isHidden = false;
    this.isDraining = false;
    this.isBusy = false;
    this.isLagging = false;
  }
}

/** Members in memory that replicate the log of their primary. */
export class LoggingGroup extends SimulatedGroup {
  readonly all: LoggingMember[];
  private commitCount = 0;
  /** Replicas receive its log, also the rest of it after it stepped down. */
  private source: LoggingMember;

  constructor(instances: readonly string[]) {
    super([]);
    this.all = instances.map(instance => new LoggingMember(instance));
    this.members.push(...this.all);
    this.source = this.all[0]!;
    this.source.isPrimary = true;
  }

  override member(instance: string): LoggingMember {
    return this.all.find(other => other.instance === instance)!;
  }

  get primary(): LoggingMember | undefined {
    return this.all.find(({isUp, isPrimary}) => isUp && isPrimary);
  }

  override read(result: StatementResult): MemberStatus | undefined {
    if (result.kind !== 'done' || result.rows.length === 0) return undefined;
    return JSON.parse(result.rows[0]!) as MemberStatus;
  }

  /** Makes a member lead the next term with the log that it has. */
  promote(instance: string): void {
    const term = Math.max(...this.all.map(member => member.term)) + 1;
    for (const member of this.all) {
      member.isPrimary = member.instance === instance;
      member.stoppedTerm = 0;
    }
    this.source = this.member(instance);
    this.source.append(++this.commitCount, term);
  }

  /** Adds a replica that has received nothing yet. */
  join(instance: string): LoggingMember {
    const member = new LoggingMember(instance);
    member.isLagging = true;
    this.all.push(member);
    this.members.push(member);
    return member;
  }

  /** Writes a commit at a primary; returns its number. */
  write(primary: LoggingMember): number {
    primary.append(++this.commitCount);
    return this.commitCount;
  }

  /** Replicas receive the log of the primary as far as chance has it. */
  replicate(isReceived: () => boolean): void {
    const {source} = this;
    if (!source.isUp) return;
    for (const member of this.all) {
      if (member !== source && member.canReceive && isReceived()) {
        member.replaceLog(source.log);
      }
    }
  }
}

import {err, ok, type Result} from '../../../../base/common/result';
import type {Position} from '../../../position/common/position';
import {comparePositions} from '../../../position/common/position';
import {
  DONE_LOCALLY,
  failure,
  type StatementResult,
  type TargetCall,
  type TargetReply,
  type TransactionState,
} from '../../../statement/common/statement';
import type {
  MemberStatus,
  StatusReader,
} from '../../../target_link/common/member_status';
import type {
  ConnectFailure,
  TargetAddress,
  TargetConnector,
  TargetLink,
} from '../../../target_link/common/target_link';

/** A statement that ran at a member. */
export interface ExecutedStatement {
  readonly instance: string;
  readonly link: number;
  /** The user of the connection. */
  readonly user: string;
  readonly requestId: string;
  readonly text: string;
  /** Session values on the connection at that time. */
  readonly values: string;
}

/** A member with failures that tests switch on and off. */
export class FakeMember {
  position: Position = {term: 1, offset: 10};
  isPrimary = false;
  isDown = false;
  /** Receives statements and never replies. */
  isSilent = false;
  answerDelayMs = 0;
  openDelayMs = 0;
  /** Number of statements that run without a reply. */
  answersToLose = 0;
  /** Number of statements that are refused as busy. */
  busyAnswers = 0;
  connectionCount = 0;
  /** Connections opened so far. */
  openCount = 0;
  /** Connections closed so far. */
  closeCount = 0;
  /** Ids of closed connections. */
  readonly closedLinks = new Set<number>();

  constructor(readonly instance: string) {}
}

/** A group of members in memory. */
export class FakeGroup implements TargetConnector, StatusReader {
  readonly executed: ExecutedStatement[] = [];
  readonly members = new Map<string, FakeMember>();
  maxConnections = 16;
  private linkCount = 0;

  constructor(readonly instances: readonly string[]) {
    for (const instance of instances) {
      this.members.set(instance, new FakeMember(instance));
    }
    this.member(instances[0]!).isPrimary = true;
  }

  member(instance: string): FakeMember {
    return this.members.get(instance)!;
  }

  /** Makes another member the primary of the next term, with its own log. */
  promote(instance: string): void {
    for (const member of this.members.values()) member.isPrimary = false;
    const successor = this.member(instance);
    successor.isPrimary = true;
    successor.position = {
      ...successor.position,
      term: successor.position.term + 1,
    };
  }

  /**
   * Makes another member the primary of the next term while the old one is
   * partitioned and still acts as primary.
   */
  promoteWithoutDemoting(instance: string): void {
    const successor = this.member(instance);
    successor.isPrimary = true;
    successor.position = {
      ...successor.position,
      term: successor.position.term + 1,
    };
  }

  /** The statements of callers, as "member text". */
  get callerStatements(): string[] {
    return this.executed
      .filter(({requestId}) => requestId !== '-')
      .map(({instance, text}) => `${instance} ${text}`);
  }

  /** Reads the row of a member's reply to a status command. */
  read(result: StatementResult): MemberStatus | undefined {
    if (result.kind !== 'done') return undefined;
    const {isPrimary, position} = this.member(result.rows[0]!);
    return {
      isPrimary,
      term: position.term,
      stoppedTerm: 0,
      receivedPosition: position,
    };
  }

  connect(target: TargetAddress): Promise<Result<TargetLink, ConnectFailure>> {
    const member = this.members.get(target.instance);
    if (!member || member.isDown) return Promise.resolve(err('refused'));
    if (member.connectionCount >= this.maxConnections) {
      return Promise.resolve(err('too many connections'));
    }
    const link = new FakeLink(this, member, ++this.linkCount, target.user);
    if (member.openDelayMs === 0) return Promise.resolve(ok(link));
    return new Promise(resolve => {
      setTimeout(() => resolve(ok(link)), member.openDelayMs);
    });
  }
}

class FakeLink implements TargetLink {
  isClosed = false;
  readonly positionAtOpen: Position;
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, string>();
  private readonly listeners: (() => void)[] = [];
  private readonly pending: ((reply: TargetReply) => void)[] = [];
  private state: TransactionState = 'idle';
  private hasWritten = false;
  private isReadWrite = false;

  constructor(
    private readonly group: FakeGroup,
    private readonly member: FakeMember,
    private readonly id: number,
    private readonly user: string,
  ) {
    this.positionAtOpen = member.position;
    member.connectionCount++;
    member.openCount++;
  }

  send(calls: readonly TargetCall[]): readonly Promise<TargetReply>[] {
    return calls.map(call => this.answer(call));
  }

  onDidClose(listener: () => void): void {
    this.listeners.push(listener);
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.member.connectionCount--;
    this.member.closeCount++;
    this.member.closedLinks.add(this.id);
    for (const settle of this.pending) settle({kind: 'lost', reason: 'closed'});
    for (const listener of this.listeners) listener();
  }

  private answer(call: TargetCall): Promise<TargetReply> {
    const {member} = this;
    if (this.isClosed || member.isDown) {
      this.close();
      return Promise.resolve({kind: 'lost', reason: 'down'});
    }
    if (member.isSilent) return this.answerNever();
    const result = this.run(call);
    if (member.answersToLose > 0 && call.requestId !== undefined) {
      member.answersToLose--;
      return this.answerNever();
    }
    const {state} = this;
    const {position} = member;
    const reply = {kind: 'answer', result, state, position} as const;
    if (member.answerDelayMs === 0) return Promise.resolve(reply);
    return new Promise(resolve => {
      setTimeout(() => resolve(reply), member.answerDelayMs);
    });
  }

  private answerNever(): Promise<TargetReply> {
    return new Promise(resolve => this.pending.push(resolve));
  }

  private run({
    requestId,
    statement,
    minPosition: after,
  }: TargetCall): StatementResult {
    const {member} = this;
    const takesSlot = ['read', 'write', 'execute', 'commit'].includes(
      statement.kind,
    );
    if (takesSlot && member.busyAnswers > 0) {
      member.busyAnswers--;
      return failure('busy', '');
    }
    if (after && comparePositions(member.position, after) < 0) {
      return failure('lagging', '');
    }
    switch (statement.kind) {
      case 'begin':
        if (!statement.readOnly && !member.isPrimary) {
          return failure('not primary', '');
        }
        this.state = 'open';
        this.isReadWrite = !statement.readOnly;
        this.hasWritten = false;
        return DONE_LOCALLY;
      case 'rollback':
        this.state = 'idle';
        return DONE_LOCALLY;
      case 'reset':
        this.values.clear();
        this.prepared.clear();
        return DONE_LOCALLY;
      case 'set':
        this.values.set(statement.name, statement.value);
        return DONE_LOCALLY;
      case 'prepare':
        this.prepared.set(statement.name, statement.action);
        return DONE_LOCALLY;
      case 'status':
        return {kind: 'done', rows: [member.instance], signature: ''};
      default:
        return this.runInSlot(requestId ?? '-', statement);
    }
  }

  private runInSlot(
    requestId: string,
    statement: TargetCall['statement'],
  ): StatementResult {
    const {member} = this;
    if (this.state === 'open' && this.isReadWrite && !member.isPrimary) {
      this.state = 'failed';
      return failure('not primary', '');
    }
    const isExecution = statement.kind === 'execute';
    if (isExecution && !this.prepared.has(statement.name)) {
      return failure('unknown name', '');
    }
    const isWrite =
      statement.kind === 'write' ||
      (isExecution && this.prepared.get(statement.name) === 'write');
    if (isWrite && !member.isPrimary) return failure('not primary', '');
    this.record(requestId, statement);
    if (statement.kind === 'commit') {
      this.state = 'idle';
      if (this.hasWritten) this.advance();
    } else if (isWrite) {
      this.hasWritten = true;
      if (this.state === 'idle') this.advance();
    }
    const rows = isWrite || statement.kind === 'commit' ? [] : ['row'];
    return {kind: 'done', rows, signature: `signed ${requestId}`};
  }

  private advance(): void {
    const {term, offset} = this.member.position;
    this.member.position = {term, offset: offset + 1};
  }

  private record(requestId: string, statement: TargetCall['statement']): void {
    const {instance} = this.member;
    const values = [...this.values].map(pair => pair.join('=')).join(' ');
    const item = 'item' in statement ? ` ${statement.item}` : '';
    const text = `${statement.kind}${item}`;
    const {id: link, user} = this;
    this.group.executed.push({instance, link, user, requestId, text, values});
  }
}

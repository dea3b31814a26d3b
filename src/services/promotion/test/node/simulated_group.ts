import {err, ok, type Result} from '../../../../base/common/result';
import type {Member} from '../../../../schema/generated/fleet';
import type {Position} from '../../../position/common/position';
import {
  DONE_LOCALLY,
  type StatementResult,
  type TargetCall,
  type TargetReply,
  type TargetStatement,
} from '../../../statement/common/statement';
import type {
  ConnectFailure,
  TargetAddress,
  TargetConnector,
  TargetLink,
} from '../../../target_link/common/target_link';
import type {
  MemberStatus,
  StatusReader,
} from '../../../target_link/common/member_status';

/** A member in memory that replies to pings and executes commands. */
export class SimulatedMember {
  isSilent = false;
  isPrimary = false;
  position: Position = {term: 1, offset: 10};
  readonly commands: string[] = [];
  /** Called once, before its next command. */
  onNextCommand: (() => void) | undefined;

  constructor(readonly instance: string) {}

  get record(): Member {
    return {
      instance: this.instance,
      service: 'books',
      address: `${this.instance}:1`,
      site: 'a',
      slots: 2,
      draining: false,
      role: this.isPrimary ? 1 : 2,
      born: 1,
      recovering: false,
    };
  }

  /** Executes a command or a ping of control. */
  run({kind}: TargetStatement): StatementResult {
    if (kind === 'reset') return DONE_LOCALLY;
    this.onNextCommand?.();
    this.onNextCommand = undefined;
    if (kind !== 'status') this.commands.push(kind);
    if (kind === 'stepDown') this.isPrimary = false;
    return {kind: 'done', rows: [this.instance], signature: ''};
  }
}

/** Members in memory, and the connections of control to them. */
export class SimulatedGroup implements TargetConnector, StatusReader {
  readonly members: SimulatedMember[];

  constructor(instances: readonly string[]) {
    this.members = instances.map(instance => new SimulatedMember(instance));
  }

  add(instance: string): SimulatedMember {
    const member = new SimulatedMember(instance);
    this.members.push(member);
    return member;
  }

  member(instance: string): SimulatedMember {
    return this.members.find(other => other.instance === instance)!;
  }

  connect({
    instance,
  }: TargetAddress): Promise<Result<TargetLink, ConnectFailure>> {
    const member = this.member(instance);
    if (member.isSilent) return Promise.resolve(err('silent'));
    return Promise.resolve(ok(new SimulatedLink(member)));
  }

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
}

class SimulatedLink implements TargetLink {
  isClosed = false;
  private readonly listeners: (() => void)[] = [];
  private readonly pending: ((reply: TargetReply) => void)[] = [];

  constructor(private readonly member: SimulatedMember) {}

  get positionAtOpen(): Position {
    return this.member.position;
  }

  send(calls: readonly TargetCall[]): readonly Promise<TargetReply>[] {
    return calls.map(({statement}) => {
      const {member} = this;
      if (member.isSilent) {
        return new Promise(resolve => this.pending.push(resolve));
      }
      const result = member.run(statement);
      const {position} = member;
      return Promise.resolve({kind: 'answer', result, state: 'idle', position});
    });
  }

  onDidClose(listener: () => void): void {
    this.listeners.push(listener);
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const lost: TargetReply = {kind: 'lost', reason: 'closed'};
    for (const resolve of this.pending.splice(0)) resolve(lost);
    for (const listener of this.listeners) listener();
  }
}

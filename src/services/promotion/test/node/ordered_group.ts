import {err, ok, type Result} from '../../../../base/common/outcome';
import type {Member} from '../../../../schema/generated/fleet';
import type {Position} from '../../../position/common/position';
import {
  DONE_LOCALLY,
  type StatementResult,
  type TargetCall,
  type TargetReply,
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

/** A member as control meets it: answers questions and takes orders. */
export class OrderedMember {
  isSilent = false;
  isPrimary = false;
  position: Position = {term: 1, offset: 10};
  readonly orders: string[] = [];

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

  /** Runs an order or a question of control. */
  run(kind: string): StatementResult {
    if (kind === 'reset') return DONE_LOCALLY;
    if (kind !== 'status') this.orders.push(kind);
    if (kind === 'stepDown') this.isPrimary = false;
    return {kind: 'done', rows: [this.instance], signature: ''};
  }
}

/** Members in memory, behind the seam that control sees. */
export class OrderedGroup implements TargetConnector, StatusReader {
  readonly members: readonly OrderedMember[];

  constructor(instances: readonly string[]) {
    this.members = instances.map(instance => new OrderedMember(instance));
  }

  member(instance: string): OrderedMember {
    return this.members.find(other => other.instance === instance)!;
  }

  connect({
    instance,
  }: TargetAddress): Promise<Result<TargetLink, ConnectFailure>> {
    const member = this.member(instance);
    if (member.isSilent) return Promise.resolve(err('silent'));
    return Promise.resolve(ok(new OrderedLink(member)));
  }

  read(result: StatementResult): MemberStatus | undefined {
    if (result.kind !== 'done') return undefined;
    const {isPrimary, position} = this.member(result.rows[0]!);
    return {
      isPrimary,
      term: position.term,
      receivedPosition: position,
    };
  }
}

class OrderedLink implements TargetLink {
  isClosed = false;
  private readonly listeners: (() => void)[] = [];
  private readonly waiting: ((reply: TargetReply) => void)[] = [];

  constructor(private readonly member: OrderedMember) {}

  get positionAtOpen(): Position {
    return this.member.position;
  }

  send(calls: readonly TargetCall[]): readonly Promise<TargetReply>[] {
    return calls.map(({statement}) => {
      const {member} = this;
      if (member.isSilent) {
        return new Promise(resolve => this.waiting.push(resolve));
      }
      const result = member.run(statement.kind);
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
    for (const settle of this.waiting.splice(0)) settle(lost);
    for (const listener of this.listeners) listener();
  }
}

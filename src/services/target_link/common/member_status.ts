import type {Position} from '../../position/common/position';
import type {StatementResult} from '../../statement/common/statement';

/** What a member says of itself. */
export interface MemberStatus {
  readonly isPrimary: boolean;
  readonly term: number;
  readonly receivedPosition: Position;
}

/** Reads what members answer to a question for their status. */
export interface StatusReader {
  read(result: StatementResult): MemberStatus | undefined;
}

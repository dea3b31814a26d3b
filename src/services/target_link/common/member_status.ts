import type {Position} from '../../position/common/position';
import type {StatementResult} from '../../statement/common/statement';

/** The role, term and log position that a member reports. */
export interface MemberStatus {
  readonly isPrimary: boolean;
  readonly term: number;
  /** The term at which it was stopped from receiving; 0 if it receives. */
  readonly stoppedTerm: number;
  readonly receivedPosition: Position;
}

/** Decodes the replies of members to status commands. */
export interface StatusReader {
  read(result: StatementResult): MemberStatus | undefined;
}

import type {Position} from '../../position/common/position';

/** Whether a prepared statement reads or writes its item. */
export type PreparedAction = 'read' | 'write';

/** A statement of a session, independent of the protocol. */
export type Statement =
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  | {readonly kind: 'read'; readonly item: string}
  | {readonly kind: 'write'; readonly item: string; readonly data: string}
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly action: PreparedAction;
      readonly shape: string;
    }
  | {
      readonly kind: 'execute';
      readonly name: string;
      readonly item: string;
      /** Undefined if the prepared statement reads. */
      readonly data: string | undefined;
    }
  | {readonly kind: 'deallocate'; readonly name: string};

/** A statement that a member of a service runs. */
export type TargetStatement =
  | Exclude<Statement, {kind: 'deallocate'}>
  /** Clears session values and prepared statements; takes no slot. */
  | {readonly kind: 'reset'}
  | {readonly kind: 'status'}
  /** Stops a replica from receiving, so that its log can be compared. */
  | {readonly kind: 'pause'; readonly term: number}
  | {readonly kind: 'resume'}
  /** Makes a primary of a lower term a replica. */
  | {readonly kind: 'stepDown'; readonly term: number};

/** A statement sent to a target. */
export interface TargetCall {
  /** The id of the caller's request; undefined for the proxy's own calls. */
  readonly requestId: string | undefined;
  readonly statement: TargetStatement;
  /** The position that the target's log must reach for a read or a begin. */
  readonly minPosition?: Position;
}

/** Why a statement failed. */
export type Failure =
  /** No capacity at the target or at the proxy; nothing ran. */
  | 'busy'
  /** The transaction was rolled back. */
  | 'aborted'
  /** The replica's log has not reached the minimum position; nothing ran. */
  | 'lagging'
  /** The member is not the primary; nothing ran. */
  | 'not primary'
  /** The address belongs to another member now; nothing ran. */
  | 'other member'
  /** The member has reached its connection limit; nothing ran. */
  | 'too many connections'
  /** No prepared statement of that name; nothing ran. */
  | 'unknown name'
  /** It ran and failed. */
  | 'failed'
  /** It timed out and may have run. */
  | 'timeout'
  | 'unknown database'
  | 'bad message'
  /** No account holds the caller's key any more; nothing ran. */
  | 'not authorized'
  /** It is unknown whether it took effect. */
  | 'unknown outcome';

const NOT_RUN: ReadonlySet<Failure> = new Set([
  'busy',
  'lagging',
  'not primary',
  'other member',
  'too many connections',
  'unknown name',
  'not authorized',
]);

/** Whether a failure implies that the statement did not run. */
export function didNotRun(failure: Failure): boolean {
  return NOT_RUN.has(failure);
}

/** Whether a session is outside, inside or in a failed transaction. */
export type TransactionState = 'idle' | 'open' | 'failed';

/** The result of one statement. */
export type StatementResult =
  | {
      readonly kind: 'done';
      readonly rows: readonly string[];
      /** The member's signature; '' for a result without a member. */
      readonly signature: string;
    }
  | {
      readonly kind: 'error';
      readonly failure: Failure;
      readonly text: string;
    };

/** A target's reply to one call. */
export type TargetReply =
  | {
      readonly kind: 'answer';
      readonly result: StatementResult;
      readonly state: TransactionState;
      /** The position of the target's log; undefined if it sent none. */
      readonly position: Position | undefined;
    }
  /** The connection was closed before the reply was complete. */
  | {readonly kind: 'lost'; readonly reason: string};

/** The reply to one request of a caller. */
export interface CallerReply {
  readonly result: StatementResult;
  readonly state: TransactionState;
  readonly position: Position | undefined;
}

/** The result of a statement that needs no member. */
export const DONE_LOCALLY: StatementResult = {
  kind: 'done',
  rows: [],
  signature: '',
};

/** Creates the result of a failed statement. */
export function failure(kind: Failure, text: string): StatementResult {
  return {kind: 'error', failure: kind, text};
}

import type {Position} from '../../position/common/position';

/** What a prepared statement does: reads or writes one item. */
export type PreparedAction = 'read' | 'write';

/** What a session can ask for, whatever protocol it speaks. */
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
      /** Undefined where the prepared statement reads. */
      readonly data: string | undefined;
    }
  | {readonly kind: 'deallocate'; readonly name: string};

/** A statement that a member of a service runs. */
export type TargetStatement =
  | Exclude<Statement, {kind: 'deallocate'}>
  /** Clears values and prepared statements; takes no slot. */
  | {readonly kind: 'reset'}
  | {readonly kind: 'status'}
  /** A replica stops receiving, so that its log can be compared. */
  | {readonly kind: 'pause'; readonly term: number}
  | {readonly kind: 'resume'}
  /** A primary of a lower term becomes a replica. */
  | {readonly kind: 'stepDown'; readonly term: number};

/** One statement on its way to a target. */
export interface TargetCall {
  /** The caller's id of the request; undefined for the system's own. */
  readonly requestId: string | undefined;
  readonly statement: TargetStatement;
  /** What the target's log must hold for a read or a begin. */
  readonly minPosition?: Position;
}

/** Why a statement did not succeed. */
export type Failure =
  /** No room at the target or here; nothing ran. */
  | 'busy'
  /** The transaction is undone. */
  | 'aborted'
  /** The replica's log lacks the position that was asked for; nothing ran. */
  | 'lagging'
  /** The member does not lead; nothing ran. */
  | 'not primary'
  /** The address belongs to another member now; nothing ran. */
  | 'other member'
  /** The member has as many connections as it takes; nothing ran. */
  | 'too many connections'
  /** No prepared statement of that name; nothing ran. */
  | 'unknown name'
  /** It ran and failed. */
  | 'failed'
  /** It ran and took too long, or nobody knows. */
  | 'timeout'
  | 'unknown database'
  | 'bad message'
  /** The caller's key is not, or no longer, one of an account; nothing ran. */
  | 'not authorized'
  /** Whether it ran is not known. */
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

/** Whether a target's failure says that the statement did not run. */
export function didNotRun(failure: Failure): boolean {
  return NOT_RUN.has(failure);
}

/** The state of a session: outside, inside, or in a failed transaction. */
export type TransactionState = 'idle' | 'open' | 'failed';

/** How one statement ended. */
export type StatementResult =
  | {
      readonly kind: 'done';
      readonly rows: readonly string[];
      /** The member's signature; '' where no member was asked. */
      readonly signature: string;
    }
  | {
      readonly kind: 'error';
      readonly failure: Failure;
      readonly text: string;
    };

/** A target's whole answer to one call. */
export type TargetReply =
  | {
      readonly kind: 'answer';
      readonly result: StatementResult;
      readonly state: TransactionState;
      /** What the target's log held; undefined where it did not say. */
      readonly position: Position | undefined;
    }
  /** The connection ended, or was given up, before the answer was whole. */
  | {readonly kind: 'lost'; readonly reason: string};

/** What a caller gets for one request. */
export interface CallerReply {
  readonly result: StatementResult;
  readonly state: TransactionState;
  readonly position: Position | undefined;
}

/** An answer that the system gives itself. */
export const DONE_LOCALLY: StatementResult = {
  kind: 'done',
  rows: [],
  signature: '',
};

/** A failure as a result. */
export function failure(kind: Failure, text: string): StatementResult {
  return {kind: 'error', failure: kind, text};
}

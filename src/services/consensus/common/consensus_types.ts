import type {
  Configuration,
  ConsensusMessage,
  HardState,
  LogEntry,
  Snapshot,
} from '../../../schema/generated/consensus';

/** Names a caller's proposal or confirmation until it is answered. */
export type RequestId = number;

/** What the caller of the core may tell it. */
export type ConsensusEvent =
  | {readonly kind: 'tick'}
  | {readonly kind: 'message'; readonly message: ConsensusMessage}
  | {
      readonly kind: 'propose';
      readonly command: Buffer;
      readonly ticket: RequestId;
    }
  | {
      readonly kind: 'changeConfiguration';
      readonly configuration: Configuration;
      readonly ticket: RequestId;
    }
  /** Asks for proof that this instance led after the question. */
  | {readonly kind: 'confirm'; readonly ticket: RequestId}
  /** Everything saved up to this entry of this term is on disk. */
  | {readonly kind: 'synced'; readonly index: number; readonly term: number}
  /** The state machine took a snapshot. */
  | {readonly kind: 'compacted'; readonly snapshot: Snapshot};

/** What the core wants done, in this order. */
export type Effect =
  | {readonly kind: 'saveHardState'; readonly state: HardState}
  | {readonly kind: 'truncate'; readonly from: number}
  | {readonly kind: 'append'; readonly entries: readonly LogEntry[]}
  /** Replaces the log by a snapshot and the entries kept after it. */
  | {
      readonly kind: 'installSnapshot';
      readonly snapshot: Snapshot;
      readonly kept: readonly LogEntry[];
    }
  | {readonly kind: 'send'; readonly message: ConsensusMessage}
  | {readonly kind: 'apply'; readonly entry: LogEntry}
  | {
      readonly kind: 'committed';
      readonly ticket: RequestId;
      readonly index: number;
    }
  | {
      readonly kind: 'confirmed';
      readonly ticket: RequestId;
      readonly index: number;
    }
  /** Not taken in, or its fate is unknown to this instance. */
  | {
      readonly kind: 'refused';
      readonly ticket: RequestId;
      readonly reason: RefusalReason;
    }
  | {readonly kind: 'roleChanged'; readonly role: ConsensusRole};

/** Why a ticket was refused. */
export type RefusalReason =
  'not leader' | 'leadership lost' | 'change in progress';

/** The part that an instance plays in its consensus term. */
export type ConsensusRole = 'follower' | 'candidate' | 'leader';

/** What an instance finds in its data folder. */
export interface PersistedState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
}

/** Times of the core, in milliseconds. */
export interface ConsensusOptions {
  /** Least silence before an election; the most is twice this. */
  readonly electionMs: number;
  readonly heartbeatMs: number;
}

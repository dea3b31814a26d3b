import type {
  Configuration,
  ConsensusMessage,
  HardState,
  LogEntry,
  Snapshot,
} from '../../../schema/generated/consensus';

/** Identifies a proposal or confirmation until it completes. */
export type RequestId = number;

/** Input of one step of the consensus core. */
export type ConsensusEvent =
  | {readonly kind: 'tick'}
  | {readonly kind: 'message'; readonly message: ConsensusMessage}
  | {
      readonly kind: 'propose';
      readonly command: Buffer;
      readonly requestId: RequestId;
    }
  | {
      readonly kind: 'changeConfiguration';
      readonly configuration: Configuration;
      readonly requestId: RequestId;
    }
  /** Requests confirmation that this instance was the leader after it. */
  | {readonly kind: 'confirm'; readonly requestId: RequestId}
  /** All entries up to this index and term are on disk. */
  | {readonly kind: 'synced'; readonly index: number; readonly term: number}
  /** The state machine took a snapshot. */
  | {readonly kind: 'compacted'; readonly snapshot: Snapshot};

/** Output of the consensus core, to be executed in order. */
export type Effect =
  | {readonly kind: 'saveHardState'; readonly state: HardState}
  | {readonly kind: 'truncate'; readonly from: number}
  | {readonly kind: 'append'; readonly entries: readonly LogEntry[]}
  /** Replaces the log by a snapshot and the remaining entries after it. */
  | {
      readonly kind: 'installSnapshot';
      readonly snapshot: Snapshot;
      readonly remaining: readonly LogEntry[];
    }
  | {readonly kind: 'send'; readonly message: ConsensusMessage}
  | {readonly kind: 'apply'; readonly entry: LogEntry}
  | {
      readonly kind: 'committed';
      readonly requestId: RequestId;
      readonly index: number;
    }
  | {
      readonly kind: 'confirmed';
      readonly requestId: RequestId;
      readonly index: number;
    }
  /** Not accepted, or its outcome is unknown to this instance. */
  | {
      readonly kind: 'refused';
      readonly requestId: RequestId;
      readonly reason: RefusalReason;
    }
  | {readonly kind: 'roleChanged'; readonly role: ConsensusRole};

/** Why a request was refused. */
export type RefusalReason =
  | 'not leader'
  | 'leadership lost'
  | 'change in progress'
  /** No majority confirmed a read in time. */
  | 'unconfirmed'
  /** The disk does not finish a write. */
  | 'storage stalled'
  /** The node ended, because of its disk or its signal. */
  | 'stopped';

/** Role of an instance in its consensus term. */
export type ConsensusRole = 'follower' | 'candidate' | 'leader';

/** State that an instance reads from its data directory. */
export interface PersistedState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
}

/** Timing of the consensus core. */
export interface ConsensusOptions {
  /** Minimum election timeout in milliseconds; the maximum is twice this. */
  readonly electionMs: number;
  readonly heartbeatMs: number;
}

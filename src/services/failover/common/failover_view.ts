import type {
  Position,
  TargetStatus,
} from '../../../schema/generated/announcement';
import type {ServiceRecord} from '../../../schema/generated/control';

/** What the control leader sees of one member of a group. */
export interface TargetView {
  readonly instance: string;
  readonly draining: boolean;
  /** The run of its process when the group formed. */
  readonly firstIncarnation: string;
  /** An announcement stream is open. */
  readonly connected: boolean;
  /** Since the last sign of life, in milliseconds. */
  readonly silentMs: number;
  /** The last status; undefined before the first. */
  readonly status: TargetStatus | undefined;
  /** Since the replica lost its primary, 0 while it hears it. */
  readonly upstreamLostMs: number;
}

/** What the control leader sees of one registered proxy. */
export interface ProxyView {
  readonly id: string;
  readonly attached: boolean;
  /** When a lease was last granted, on the leader's clock. */
  readonly lastGrantedAt: number;
  /** The proxy's word that it holds no lease below this term. */
  readonly returnedBelow: number;
  /** The highest position it acknowledged, where it handed back. */
  readonly highestAcknowledged: Position | undefined;
  /** It reports the primary of this term as unreachable. */
  readonly unreachableTerm: number;
  /** It reports commits of this term that no replica confirms. */
  readonly unconfirmedTerm: number;
}

/** Everything that a decision about one service is made from. */
export interface FailoverView {
  readonly record: ServiceRecord;
  /** How many members the group has, by its settings. */
  readonly memberCount: number;
  readonly requiredConfirmations: number;
  readonly maxSilenceMs: number;
  /** The longest that a lease can last on the leader's clock. */
  readonly maxLeaseMs: number;
  readonly now: number;
  readonly leaderSince: number;
  /** How long this leader has known the service in its term and phase. */
  readonly phaseAgeMs: number;
  readonly targets: readonly TargetView[];
  readonly proxies: readonly ProxyView[];
  /** An operator took the risk of losing writes for this change. */
  readonly isForced: boolean;
}

/** What the leader does next for a service. */
export type FailoverAction =
  | {
      readonly kind: 'begin';
      readonly term: number;
      readonly cause: string;
      readonly inputs: string;
      readonly planned: boolean;
    }
  | {
      readonly kind: 'complete';
      readonly primary: string;
      readonly incarnation: string;
      readonly base: Position;
      readonly inputs: string;
    }
  | {readonly kind: 'fence'; readonly instance: string}
  | {readonly kind: 'promote'; readonly instance: string}
  | {
      readonly kind: 'follow';
      readonly instance: string;
      readonly replicationAddress: string;
    }
  /** Nobody can acknowledge a write of an earlier term any more. */
  | {readonly kind: 'closed'}
  /** The change cannot go on; why is for operators. */
  | {readonly kind: 'blocked'; readonly reason: string};

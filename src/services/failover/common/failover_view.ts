import type {
  Position,
  TargetStatus,
} from '../../../schema/generated/announcement';
import type {ServiceRecord} from '../../../schema/generated/control';

/** State of one member of a service, as the control leader sees it. */
export interface TargetView {
  readonly instance: string;
  readonly draining: boolean;
  /** Incarnation of its process when the service was formed. */
  readonly firstIncarnation: string;
  /** Whether its announcement stream is open. */
  readonly connected: boolean;
  /** Time since the last message, in milliseconds. */
  readonly silentMs: number;
  /** The last announced status; undefined before the first. */
  readonly status: TargetStatus | undefined;
  /** Time since a replica lost its primary, in ms; 0 while it is connected. */
  readonly upstreamLostMs: number;
}

/** State of one registered proxy, as the control leader sees it. */
export interface ProxyView {
  readonly id: string;
  readonly attached: boolean;
  /** When a lease was last granted, on the leader's clock. */
  readonly lastGrantedAt: number;
  /** The proxy has returned all leases on terms below this one. */
  readonly returnedBelow: number;
  /** The highest position it acknowledged, if it returned a lease. */
  readonly highestAcknowledged: Position | undefined;
  /** Term whose primary it reports as unreachable; 0 for none. */
  readonly unreachableTerm: number;
  /** Term of which it reports commits that no replica confirms; 0 for none. */
  readonly unconfirmedTerm: number;
}

/** Input of a failover decision about one service. */
export interface FailoverView {
  readonly record: ServiceRecord;
  /** Number of members that the settings require. */
  readonly memberCount: number;
  readonly requiredConfirmations: number;
  readonly maxSilenceMs: number;
  /** Longest time that a lease can last on the leader's clock, in ms. */
  readonly maxLeaseMs: number;
  readonly now: number;
  readonly leaderSince: number;
  /** How long this leader has seen the service in its term and phase, in ms. */
  readonly phaseAgeMs: number;
  readonly targets: readonly TargetView[];
  readonly proxies: readonly ProxyView[];
  /** Whether an operator accepted the loss of writes for this change. */
  readonly isForced: boolean;
}

/** An action of the control leader for a service. */
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
  /** No proxy can acknowledge a write of an earlier term any more. */
  | {readonly kind: 'closed'}
  /** The change cannot proceed; the reason is for operators. */
  | {readonly kind: 'blocked'; readonly reason: string};

import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import type {
  Member,
  ServiceEntry,
  PrimaryAssignment,
} from '../../../schema/generated/fleet';
import type {LeaseChecks} from '../../lease/common/primary_leases';
import type {Position} from '../../position/common/position';
import type {ConnectionQuota} from '../../connection_quota/common/connection_quota';
import type {StatusReader} from '../../target_link/common/member_status';
import type {TargetConnector} from '../../target_link/common/target_link';
import type {ConnectionPeers} from '../common/connection_share';
import type {CheckoutRequest} from '../common/checkout_request';
import type {PooledConnection} from './member_pool';

/** A connection for one transaction. */
export interface Checkout {
  readonly pooled: PooledConnection;
  readonly isPrimary: boolean;
  /** The decision that the member leads by, where it is the primary. */
  readonly epoch: number;
  /** What the member's log must hold; undefined: proof of lead is needed. */
  readonly minPosition: Position | undefined;
}

/** A connection that comes back. */
export interface ReleasedConnection {
  readonly pooled: PooledConnection;
  /** Outside a transaction, with nothing of the session running. */
  readonly isClean: boolean;
}

/** What the last statement on a connection told of its member. */
export interface MemberObservation {
  readonly instance: string;
  readonly askedAt: number;
  readonly answeredAt: number;
  readonly position: Position | undefined;
  /** The decision that the member led by when it was asked. */
  readonly epoch: number;
  readonly kind:
    | 'answered'
    /** Answered, and said after `askedAt` that it leads. */
    | 'leads'
    | 'not primary'
    /** It had no room for the statement. */
    | 'busy'
    | 'silent';
}

/** Proof that is wanted of the members while control gives none. */
export interface VerificationRequest {
  readonly epoch: number;
  readonly term: number;
  /** How long it is of use, in milliseconds. */
  readonly timeoutMs: number;
  settle(isProved: boolean): void;
}

/** What the dispatcher is told. */
export type DispatcherMessage =
  | {readonly kind: 'request'; readonly request: CheckoutRequest<Checkout>}
  /** Nobody waits for it any more. */
  | {readonly kind: 'withdraw'; readonly request: CheckoutRequest<Checkout>}
  | {readonly kind: 'return'; readonly returned: ReleasedConnection}
  | {readonly kind: 'observed'; readonly observation: MemberObservation}
  | {
      readonly kind: 'members';
      readonly members: readonly Member[];
      readonly sharers: ConnectionPeers;
    }
  | {
      readonly kind: 'definition';
      readonly definition: ServiceEntry;
      /** Whether its requests are admitted by class. */
      readonly isByClass: boolean;
    }
  | {readonly kind: 'primary'; readonly lead: PrimaryAssignment}
  | {readonly kind: 'verify'; readonly wish: VerificationRequest}
  | {readonly kind: 'changed'}
  | {readonly kind: 'tick'};

/** What a dispatcher is built on. */
export interface DispatcherDependencies {
  readonly service: string;
  readonly region: string;
  regionOf(site: string): string;
  readonly connector: TargetConnector;
  readonly leases: LeaseChecks;
  readonly statusReader: StatusReader;
  /** What control hands out of the members' connections. */
  readonly connectionQuota: ConnectionQuota;
  readonly clock: Clock;
  readonly log: Log;
  /** Trouble with the primary began (a text) or ended (''). */
  onDidAssessPrimary(instance: string, trouble: string): void;
}

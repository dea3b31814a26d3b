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

/** A connection that is checked out to one transaction. */
export interface Checkout {
  readonly pooled: PooledConnection;
  readonly isPrimary: boolean;
  /** The epoch of the assignment; -1 if the member is not primary. */
  readonly epoch: number;
  /** What the member's log must hold; undefined: verify the primary instead. */
  readonly minPosition: Position | undefined;
}

/** A connection that is returned to its pool. */
export interface ReleasedConnection {
  readonly pooled: PooledConnection;
  /** Whether it is outside a transaction, without running statements. */
  readonly isClean: boolean;
}

/** What a reply, or its absence, showed about a member. */
export interface MemberObservation {
  readonly instance: string;
  readonly requestedAt: number;
  readonly receivedAt: number;
  readonly position: Position | undefined;
  /** The epoch of the member's assignment when the request was sent. */
  readonly epoch: number;
  readonly kind:
    | 'answered'
    /** It replied after `requestedAt` that it is primary. */
    | 'primary'
    | 'not primary'
    /** It had no capacity for the statement. */
    | 'busy'
    | 'silent';
}

/** A request to verify the primary by the members, without control. */
export interface VerificationRequest {
  readonly epoch: number;
  readonly term: number;
  readonly timeoutMs: number;
  resolve(isVerified: boolean): void;
}

/** The messages to a dispatcher. */
export type DispatcherMessage =
  | {readonly kind: 'request'; readonly request: CheckoutRequest<Checkout>}
  /** The caller abandoned the request. */
  | {readonly kind: 'cancel'; readonly request: CheckoutRequest<Checkout>}
  | {readonly kind: 'release'; readonly released: ReleasedConnection}
  | {readonly kind: 'observed'; readonly observation: MemberObservation}
  | {
      readonly kind: 'members';
      readonly members: readonly Member[];
      readonly peers: ConnectionPeers;
    }
  | {
      readonly kind: 'definition';
      readonly definition: ServiceEntry;
      /** Whether its requests are admitted by priority class. */
      readonly usesClasses: boolean;
    }
  | {readonly kind: 'primary'; readonly assignment: PrimaryAssignment}
  | {readonly kind: 'verify'; readonly request: VerificationRequest}
  | {readonly kind: 'changed'}
  | {readonly kind: 'tick'};

/** The dependencies of a dispatcher. */
export interface DispatcherDependencies {
  readonly service: string;
  readonly region: string;
  regionOf(site: string): string;
  readonly connector: TargetConnector;
  readonly leases: LeaseChecks;
  readonly statusReader: StatusReader;
  readonly connectionQuota: ConnectionQuota;
  readonly clock: Clock;
  readonly log: Log;
  /** Trouble with the primary began, or ended (''). */
  onDidAssessPrimary(instance: string, trouble: string): void;
}

import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import type {
  Member,
  ServiceEntry,
  PrimaryAssignment,
} from '../../../schema/generated/fleet';
import type {LeadProofs} from '../../lease/common/lead_leases';
import type {Position} from '../../position/common/position';
import type {ConnectionRoom} from '../../room/common/connection_room';
import type {StatusReader} from '../../target_link/common/member_status';
import type {TargetConnector} from '../../target_link/common/target_link';
import type {ConnectionSharers} from '../common/connection_share';
import type {PlaceRequest} from '../common/place_request';
import type {PooledLink} from './member_pool';

/** A connection for one transaction. */
export interface Grant {
  readonly pooled: PooledLink;
  readonly isPrimary: boolean;
  /** The decision that the member leads by, where it is the primary. */
  readonly epoch: number;
  /** What the member's log must hold; undefined: proof of lead is needed. */
  readonly after: Position | undefined;
}

/** A connection that comes back. */
export interface Return {
  readonly pooled: PooledLink;
  /** Outside a transaction, with nothing of the session running. */
  readonly clean: boolean;
}

/** What the last statement on a connection told of its member. */
export interface Observation {
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
export interface ProofWish {
  readonly epoch: number;
  readonly term: number;
  /** How long it is of use, in milliseconds. */
  readonly timeMs: number;
  settle(isProved: boolean): void;
}

/** What the dispatcher is told. */
export type DispatcherMessage =
  | {readonly kind: 'request'; readonly request: PlaceRequest<Grant>}
  /** Nobody waits for it any more. */
  | {readonly kind: 'withdraw'; readonly request: PlaceRequest<Grant>}
  | {readonly kind: 'return'; readonly returned: Return}
  | {readonly kind: 'observed'; readonly observation: Observation}
  | {
      readonly kind: 'members';
      readonly members: readonly Member[];
      readonly sharers: ConnectionSharers;
    }
  | {
      readonly kind: 'definition';
      readonly definition: ServiceEntry;
      /** Whether its requests are admitted by class. */
      readonly isByClass: boolean;
    }
  | {readonly kind: 'lead'; readonly lead: PrimaryAssignment}
  | {readonly kind: 'witness'; readonly wish: ProofWish}
  | {readonly kind: 'changed'}
  | {readonly kind: 'tick'};

/** What a dispatcher is built on. */
export interface DispatcherSurroundings {
  readonly service: string;
  readonly region: string;
  regionOf(site: string): string;
  readonly connector: TargetConnector;
  readonly leases: LeadProofs;
  readonly statusReader: StatusReader;
  /** What control hands out of the members' connections. */
  readonly room: ConnectionRoom;
  readonly clock: Clock;
  readonly log: Log;
  /** Trouble with the primary began (a text) or ended (''). */
  onDidJudgePrimary(instance: string, trouble: string): void;
}

import type {ClassName, InstanceId, ServiceName} from '../../base/common/ids';
import type {Result} from '../../base/common/result';
import type {QueuedRequest} from '../../services/admission/common/fair_queue';
import type {CheckoutRefusal} from '../common/checkout_refusal';
import type {TargetConnection} from '../../services/pool/node/target_connection';
import type {Position} from '../../services/position/common/position';
import type {RouteReason} from '../../services/routing/common/route_read';

/** A connection that is checked out for one transaction, and how it fits. */
export interface Checkout {
  readonly connection: TargetConnection;
  readonly instance: InstanceId;
  readonly isOnPrimary: boolean;
  readonly reason: RouteReason | 'primary for a write';
  /** The minimum position of the session, also if it passed none. */
  readonly minPosition: Position;
  readonly term: number;
  /** Upper bound of the data's staleness; Infinity if unknown. */
  readonly ageMs: number;
}

/** A queued request of a transaction for a connection to a target. */
export interface CheckoutRequest extends QueuedRequest {
  readonly service: ServiceName;
  readonly requestClass: ClassName;
  readonly access: 'read' | 'write';
  readonly maxAgeMs: number;
  readonly olderWithNotice: boolean;
  /** What the session must see; undefined if it passed no position. */
  readonly minPosition: Position | undefined;
  /** When the session connected, on the monotonic clock. */
  readonly connectedAt: number;
  readonly requestedAt: number;
  readonly resolve: (outcome: Result<Checkout, CheckoutRefusal>) => void;
}

import type {ClassName, InstanceId, ServiceName} from '../../base/common/ids';
import type {Result} from '../../base/common/outcome';
import type {QueuedRequest} from '../../services/admission/common/fair_queue';
import type {NotRun} from '../common/checkout_refusal';
import type {TargetConnection} from '../../services/pool/node/target_connection';
import type {Position} from '../../services/position/common/position';
import type {RouteReason} from '../../services/routing/common/route_read';

/** A place on a target for one transaction. */
export interface Grant {
  readonly connection: TargetConnection;
  readonly instance: InstanceId;
  readonly onPrimary: boolean;
  readonly reason: RouteReason | 'primary for a write';
  /** What the session must see, now that it is known. */
  readonly required: Position;
  readonly term: number;
  /** The most that the answer can be behind, in milliseconds. */
  readonly ageMs: number;
}

/** A transaction that waits for a place on a target. */
export interface PlaceRequest extends QueuedRequest {
  readonly service: ServiceName;
  readonly requestClass: ClassName;
  readonly needs: 'read' | 'write';
  readonly ageMs: number;
  readonly olderWithNotice: boolean;
  /** What the session must see; undefined when it brought nothing along. */
  readonly required: Position | undefined;
  /** When the session arrived, on the monotonic clock. */
  readonly arrivedAt: number;
  readonly since: number;
  readonly settle: (outcome: Result<Grant, NotRun>) => void;
}

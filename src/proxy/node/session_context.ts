import type {Clock} from '../../base/common/clock';
import type {CallerName, ClassName, ServiceName} from '../../base/common/ids';
import type {Classifier} from '../../services/sql/common/classifier';
import type {SessionState} from '../../services/session/common/session_state';
import type {ClassSettings} from '../../services/settings/common/settings';
import type {FrameConnection} from '../../services/wire/node/frame_connection';
import type {PreparedStatements} from '../common/batch';
import type {CheckoutRequest} from './checkout_request';
import type {SessionMeter} from './request_meter';
import type {ServiceRouter} from './service_router';

/** State and dependencies that the parts of one session share. */
export interface SessionContext {
  readonly caller: CallerName;
  readonly service: ServiceName;
  readonly connection: FrameConnection;
  readonly state: SessionState;
  readonly preparedStatements: PreparedStatements;
  readonly router: ServiceRouter;
  readonly classifier: Classifier;
  readonly clock: Clock;
  readonly meter: SessionMeter;
  /** When the session connected, on the monotonic clock. */
  readonly connectedAt: number;
  classes(): ReadonlyMap<ClassName, ClassSettings>;
}

/** For classes without settings. */
const DEFAULT_CLASS: ClassSettings = {
  ageMs: 0,
  priority: 5,
  deadlineMs: 5_000,
  olderWithNotice: false,
};

/** Settings of the session's class, or defaults if it has none. */
export function classSettingsOf(context: SessionContext): ClassSettings {
  const {requestClass} = context.state;
  return context.classes().get(requestClass) ?? DEFAULT_CLASS;
}

/** A checkout request of a session, without its callback. */
export function describeRequest(
  context: SessionContext,
  access: 'read' | 'write',
): Omit<CheckoutRequest, 'resolve'> {
  const {ageMs, priority, deadlineMs, olderWithNotice} =
    classSettingsOf(context);
  const requestedAt = context.clock.now();
  return {
    caller: context.caller,
    service: context.service,
    requestClass: context.state.requestClass,
    priority,
    deadline: requestedAt + deadlineMs,
    dueAt: requestedAt + deadlineMs,
    access,
    maxAgeMs: ageMs,
    olderWithNotice,
    minPosition: context.state.requiredPosition,
    connectedAt: context.connectedAt,
    requestedAt,
  };
}

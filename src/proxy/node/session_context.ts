import type {Clock} from '../../base/common/clock';
import type {CallerName, ClassName, ServiceName} from '../../base/common/ids';
import type {Classifier} from '../../services/sql/common/classifier';
import type {SessionState} from '../../services/session/common/session_state';
import type {ClassSettings} from '../../services/settings/common/settings';
import type {FrameConnection} from '../../services/wire/node/frame_connection';
import type {NamedStatements} from '../common/batch';
import type {PlaceRequest} from './checkout_request';
import type {SessionMeter} from './request_meter';
import type {ServiceRouter} from './service_router';

/** What the parts of one caller's session share. */
export interface SessionContext {
  readonly caller: CallerName;
  readonly service: ServiceName;
  readonly connection: FrameConnection;
  readonly state: SessionState;
  readonly named: NamedStatements;
  readonly router: ServiceRouter;
  readonly classifier: Classifier;
  readonly clock: Clock;
  readonly meter: SessionMeter;
  /** When the session arrived, on the monotonic clock. */
  readonly arrivedAt: number;
  classes(): ReadonlyMap<ClassName, ClassSettings>;
}

const BUILT_IN_CLASS: ClassSettings = {
  ageMs: 0,
  priority: 5,
  deadlineMs: 5_000,
  olderWithNotice: false,
};

/** The settings of the session's class. */
export function classSettingsOf(context: SessionContext): ClassSettings {
  const {requestClass} = context.state;
  return context.classes().get(requestClass) ?? BUILT_IN_CLASS;
}

/** A request for a place on a target, without its answer. */
export function describeRequest(
  context: SessionContext,
  needs: 'read' | 'write',
): Omit<PlaceRequest, 'settle'> {
  const {ageMs, priority, deadlineMs, olderWithNotice} =
    classSettingsOf(context);
  const since = context.clock.now();
  return {
    caller: context.caller,
    service: context.service,
    requestClass: context.state.requestClass,
    priority,
    deadline: since + deadlineMs,
    dueAt: since + deadlineMs,
    needs,
    ageMs,
    olderWithNotice,
    required: context.state.requiredPosition,
    arrivedAt: context.arrivedAt,
    since,
  };
}

import type {Log} from '../../../base/node/log';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import type {LimitRefusal} from '../../account/node/operation_limits';
import type {CheckoutRefusal} from '../../dispatch/common/checkout_request';
import type {StatementResult} from '../../statement/common/statement';
import type {AccessDenial} from '../common/caller_access';
import type {GatewayMeter} from './gateway_meter';

/** The id of a request and its caller. */
export interface RequestIdentity {
  readonly request: string;
  readonly caller: string;
}

/** One attempt to run a request on an instance. */
export interface Attempt {
  readonly instance: string;
  readonly tookMs: number;
  readonly detail: string;
}

/** An attempt after which the request is sent again. */
export interface RetriedAttempt extends Attempt {
  /** Whether a member may have run it. */
  readonly mightHaveRun: boolean;
}

/**
 * Logs and counts the outcomes of requests. Successful requests are counted but
 * not logged.
 */
export class RequestTelemetry {
  constructor(
    private readonly log: Log,
    private readonly meter: GatewayMeter,
  ) {}

  recordQueued({service, priority}: DatabaseRoute): void {
    this.meter.addQueued(service, priority, 1);
  }

  recordDequeued(
    route: DatabaseRoute,
    waitedMs: number,
    isGranted: boolean,
  ): void {
    const {name, service, priority} = route;
    this.meter.recordLatency(name, 'queue', waitedMs);
    this.meter.addQueued(service, priority, -1);
    if (isGranted) this.meter.countCheckout(service, priority, 'served');
  }

  recordAnswer(
    user: string,
    route: DatabaseRoute,
    result: StatementResult,
    tookMs: number,
  ): void {
    this.meter.countAnswer(user);
    this.meter.recordLatency(route.name, 'whole', tookMs);
    this.meter.count(route.name, outcomeOf(result));
  }

  /** Records a caller rejected at startup; its key is not logged. */
  recordRejectedSession(database: string, denial: AccessDenial): void {
    this.meter.count('-', denial);
    this.log.info('Turned a caller away.', {
      database: database.slice(0, 40),
      reason: denial,
    });
  }

  /** Records a statement refused for lack of rights. */
  recordUnauthorized(
    request: string,
    caller: string,
    denial: AccessDenial,
  ): void {
    this.meter.count('-', denial);
    this.log.info('Refused, not run.', {request, caller, reason: denial});
  }

  recordRefusal(
    {request, caller}: RequestIdentity,
    route: DatabaseRoute,
    refusal: CheckoutRefusal,
    waitedMs: number,
  ): void {
    const {reason, retryAfterMs, detail} = refusal;
    const waited = Math.round(waitedMs);
    const {service, priority, name} = route;
    const labels = {service, priority, route: name};
    const fields = {request, caller, ...labels, reason, detail};
    this.meter.countRefusal(caller, reason);
    this.meter.countCheckout(service, priority, 'refused');
    this.log.info('Refused, not run.', {...fields, waited, retryAfterMs});
  }

  recordRetry(
    {request, caller}: RequestIdentity,
    service: string,
    attempt: RetriedAttempt,
  ): void {
    const {mightHaveRun} = attempt;
    if (mightHaveRun) this.meter.countRepeatedRun(caller);
    this.log.info('Tries again.', {
      request,
      caller,
      service,
      ...attemptFields(attempt),
      mightHaveRun,
    });
  }

  /** Records a retry that the service's retry budget did not allow. */
  recordRetryBudgetExhausted(
    request: string,
    service: string,
    detail: string,
  ): void {
    this.log.info('The retry budget is exhausted; not retrying.', {
      request,
      service,
      detail,
    });
  }

  /** Records a read that is not sent again since no permit was granted. */
  recordRetryOverLimit(
    {request, caller}: RequestIdentity,
    service: string,
    {reason, detail}: LimitRefusal,
  ): void {
    this.log.info('No permit for a retry; not retrying.', {
      request,
      caller,
      service,
      reason,
      detail,
    });
  }

  recordFailure(request: string, service: string, attempt: Attempt): void {
    this.log.info('Failed.', {request, service, ...attemptFields(attempt)});
  }
}

function attemptFields({instance, tookMs, detail}: Attempt) {
  return {instance, took: Math.round(tookMs), detail};
}

function outcomeOf(result: StatementResult): string {
  return result.kind === 'done' ? 'done' : result.failure;
}

import type {Log} from '../../../base/node/log';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import type {CheckoutRefusal} from '../../dispatch/common/checkout_request';
import type {StatementResult} from '../../statement/common/statement';
import type {AccessDenial} from '../common/caller_access';
import type {GatewayMeter} from './gateway_meter';

/** Which request of which account. */
export interface RequestIdentity {
  readonly request: string;
  readonly caller: string;
}

/** What a request was tried on. */
export interface Attempt {
  readonly instance: string;
  readonly tookMs: number;
  readonly detail: string;
}

/**
 * Logs and counts what is decided about requests. Those that go well are only
 * counted; each line names the request, the inputs and the outcome.
 */
export class RequestTelemetry {
  constructor(
    private readonly log: Log,
    private readonly meter: GatewayMeter,
  ) {}

  /** A request begins to wait for a place. */
  recordQueued({service, priority}: DatabaseRoute): void {
    this.meter.addQueued(service, priority, 1);
  }

  /** A request waits no more; whether it has a place. */
  recordDequeued(
    route: DatabaseRoute,
    waitedMs: number,
    isServed: boolean,
  ): void {
    const {name, service, priority} = route;
    this.meter.recordLatency(name, 'queue', waitedMs);
    this.meter.addQueued(service, priority, -1);
    if (isServed) this.meter.countCheckout(service, priority, 'served');
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

  /** A caller was turned away at its start; its key stands in no line. */
  recordRejectedSession(database: string, denial: AccessDenial): void {
    this.meter.count('-', denial);
    this.log.info('Turned a caller away.', {
      database: database.slice(0, 40),
      reason: denial,
    });
  }

  /** A statement was refused for want of rights; it did not run. */
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
    const place = {service, priority, route: name};
    const fields = {request, caller, ...place, reason, detail};
    this.meter.countRefusal(caller, reason);
    this.meter.countCheckout(service, priority, 'refused');
    this.log.info('Refused, not run.', {...fields, waited, retryAfterMs});
  }

  recordRetry(request: string, service: string, attempt: Attempt): void {
    this.log.info('Tries again.', {request, service, ...rounded(attempt)});
  }

  /** A request could be repeated, but too many others were. */
  recordRetryBudgetExhausted(
    request: string,
    service: string,
    detail: string,
  ): void {
    this.log.info('Repeats no more.', {request, service, detail});
  }

  recordFailure(request: string, service: string, attempt: Attempt): void {
    this.log.info('Failed.', {request, service, ...rounded(attempt)});
  }
}

function rounded({instance, tookMs, detail}: Attempt) {
  return {instance, took: Math.round(tookMs), detail};
}

function outcomeOf(result: StatementResult): string {
  return result.kind === 'done' ? 'done' : result.failure;
}

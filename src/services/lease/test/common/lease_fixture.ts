import type {Clock} from '../../../../base/common/clock';
import {every} from '../../../../base/node/timers';
import type {PrimaryAssignment} from '../../../../schema/generated/fleet';
import {LeadLeases, RENEW_EVERY_MS} from '../../common/lead_leases';

/** A lead of the service "books". */
export function makeLead(
  instance: string,
  epoch: number,
  service = 'books',
): PrimaryAssignment {
  return {service, instance, epoch, pending: false};
}

/** Leases that control renews on time until the signal aborts. */
export function makeRenewedLeases(
  clock: Clock,
  signal: AbortSignal,
): LeadLeases {
  const leases = new LeadLeases(clock);
  every(signal, RENEW_EVERY_MS, () => renew(leases));
  return leases;
}

/** Asks for leases and gets them at once. */
export function renew(leases: LeadLeases): void {
  leases.onRenewed(leases.ask());
}

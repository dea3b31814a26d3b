import type {Clock} from '../../../../base/common/clock';
import {every} from '../../../../base/node/timers';
import type {PrimaryAssignment} from '../../../../schema/generated/fleet';
import {PrimaryLeases, RENEWAL_INTERVAL_MS} from '../../common/primary_leases';

/** A lead of the service "books". */
export function makeAssignment(
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
): PrimaryLeases {
  const leases = new PrimaryLeases(clock);
  every(signal, RENEWAL_INTERVAL_MS, () => renew(leases));
  return leases;
}

/** Asks for leases and gets them at once. */
export function renew(leases: PrimaryLeases): void {
  leases.onRenewed(leases.beginRenewal());
}

import type {Clock} from '../../../../base/common/clock';
import {every} from '../../../../base/node/timers';
import type {PrimaryAssignment} from '../../../../schema/generated/fleet';
import {PrimaryLeases, RENEWAL_INTERVAL_MS} from '../../common/primary_leases';

/** Makes an assignment that has taken effect. */
export function makeAssignment(
  instance: string,
  epoch: number,
  service = 'books',
): PrimaryAssignment {
  return {
    service,
    instance,
    epoch,
    pending: false,
    answered: false,
    contested: false,
    single: false,
  };
}

/** Makes leases that are renewed on time until the signal aborts. */
export function makeRenewedLeases(
  clock: Clock,
  signal: AbortSignal,
): PrimaryLeases {
  const leases = new PrimaryLeases(clock);
  every(signal, RENEWAL_INTERVAL_MS, () => renew(leases));
  return leases;
}

/** Renews all leases without delay. */
export function renew(leases: PrimaryLeases): void {
  leases.onRenewed(leases.beginRenewal());
}

import type {ServiceDispatcher} from '../../dispatch/node/service_dispatcher';
import type {LeaseChecks} from '../../lease/common/primary_leases';

/**
 * Verifies primaries by control's leases and, once these have expired, by the
 * members themselves; the first confirmation counts.
 */
export class MemberVerifiedLeases implements LeaseChecks {
  constructor(
    private readonly leases: LeaseChecks,
    private readonly dispatcherOf: (service: string) => ServiceDispatcher,
  ) {}

  isHeld(service: string, epoch: number): boolean {
    return this.leases.isHeld(service, epoch);
  }

  expiredForMs(service: string, epoch: number): number {
    return this.leases.expiredForMs(service, epoch);
  }

  async waitUntilHeld(
    service: string,
    epoch: number,
    timeoutMs: number,
    term?: number,
  ): Promise<boolean> {
    const byControl = this.leases.waitUntilHeld(service, epoch, timeoutMs);
    if (term === undefined) return byControl;
    const byMembers = this.verifyWithMembers(service, epoch, timeoutMs, term);
    const first = await Promise.race([byControl, byMembers]);
    // If the first result is a timeout, the other one decides.
    return first || (await byControl) || byMembers;
  }

  private verifyWithMembers(
    service: string,
    epoch: number,
    timeoutMs: number,
    term: number,
  ): Promise<boolean> {
    return new Promise(resolve => {
      const request = {epoch, term, timeoutMs, resolve};
      const isAccepted = this.dispatcherOf(service).post({
        kind: 'verify',
        request,
      });
      if (!isAccepted) resolve(false);
    });
  }
}

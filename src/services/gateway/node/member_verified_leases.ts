import type {ServiceDispatcher} from '../../dispatch/node/service_dispatcher';
import type {LeaseChecks} from '../../lease/common/primary_leases';

/**
 * Proof of leads by control's leases and, where these ran out, by the members
 * themselves; whichever comes first.
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
    timeMs: number,
    term?: number,
  ): Promise<boolean> {
    const byControl = this.leases.waitUntilHeld(service, epoch, timeMs);
    if (term === undefined) return byControl;
    const byMembers = this.askMembers(service, epoch, timeMs, term);
    const first = await Promise.race([byControl, byMembers]);
    // One that gave up leaves it to the other.
    return first || (await byControl) || byMembers;
  }

  private askMembers(
    service: string,
    epoch: number,
    timeMs: number,
    term: number,
  ): Promise<boolean> {
    return new Promise(resolve => {
      const wish = {epoch, term, timeoutMs: timeMs, settle: resolve};
      const isTaken = this.dispatcherOf(service).post({kind: 'verify', wish});
      if (!isTaken) resolve(false);
    });
  }
}

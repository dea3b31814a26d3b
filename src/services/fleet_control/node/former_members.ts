import {detach} from '../../../base/node/broken_invariant';
import type {Log} from '../../../base/node/log';
import {
  ClaimedRole,
  type FormerMember,
  type LogBaseline,
  type Member,
} from '../../../schema/generated/fleet';
import {encodeCommand} from '../../fleet_state/common/fleet_command';
import {isSameIncarnation} from '../../fleet_state/common/log_baselines';
import {formatPosition} from '../../position/common/position';
import type {Departures} from '../../roster/common/departures';
import type {LeadershipRequests} from './leadership_requests';
import type {ServiceGroups} from './service_groups';

/** Silence after which a member that left has ended. */
const MAX_ENDING_SILENCE_MS = 1_000;

/** Accounts for members that have ended, during one leadership. */
export class FormerMembers {
  /** Services for whose former members a request is under way. */
  private readonly accounting = new Set<string>();

  constructor(
    private readonly groups: ServiceGroups,
    private readonly departures: Departures,
    private readonly requests: LeadershipRequests,
    private readonly log: Log,
  ) {}

  /** Instances whose end has to be observed, though they left. */
  get instances(): string[] {
    const {logBaselines} = this.groups.machine;
    const recorded = logBaselines.flatMap(({former}) => former);
    return [...recorded, ...this.departures.all].map(({instance}) => instance);
  }

  /** The baseline of a service, with entries that are not committed yet. */
  baselineOf(service: string): LogBaseline {
    const {machine} = this.groups;
    const baseline = machine.baselineOf(service);
    const former = [...baseline.former];
    const assigned = machine.assignmentOf(service)?.instance;
    const pending = [
      ...this.departures.of(service),
      ...this.restartedMembers(service),
    ];
    for (const member of pending) {
      if (member.instance === assigned) continue;
      if (former.some(other => isSameIncarnation(other, member))) continue;
      former.push(member);
    }
    return {...baseline, former};
  }

  /**
   * Accounts for former members once they have ended: what the primary holds
   * after that includes all that they confirmed.
   */
  reconcile(): void {
    for (const {service, former} of this.groups.machine.logBaselines) {
      const ended = former.filter(member => this.hasEnded(service, member));
      if (ended.length === 0 || this.accounting.has(service)) continue;
      this.accounting.add(service);
      detach(
        'account of former members',
        this.accountFor(service, ended).finally(() => {
          this.accounting.delete(service);
        }),
      );
    }
  }

  private async accountFor(
    service: string,
    members: readonly FormerMember[],
  ): Promise<void> {
    const {groups} = this;
    const epoch = groups.epochOf(service);
    const primary = groups.assignedPrimary(service);
    if (!primary) return;
    const monitor = groups.monitors.of(primary);
    const status = await monitor.sendCommand({kind: 'status'});
    const isCurrent = groups.epochOf(service) === epoch;
    const isSame = groups.assignedPrimary(service) !== undefined;
    if (!status?.isPrimary || !isCurrent || !isSame) return;
    const {term, offset} = status.receivedPosition;
    const value = {service, term, offset, members: [...members]};
    const command = encodeCommand({$case: 'accountForMembers', value});
    const proposed = await this.requests.propose(command);
    this.log.info('Accounted for members that ended.', {
      service,
      members: members.map(({instance}) => instance).join(' '),
      primary: primary.instance,
      baseline: formatPosition(status.receivedPosition),
      done: proposed.isOk,
    });
  }

  /** Whether a former member can confirm nothing any more. */
  private hasEnded(service: string, former: FormerMember): boolean {
    const current = this.groups.roster.get(former.instance);
    if (current && !isSameIncarnation(current, former)) return true;
    const monitor = this.groups.monitors.of(toMember(service, former));
    return monitor.isRefusing || monitor.silentMs >= MAX_ENDING_SILENCE_MS;
  }

  /** Earlier incarnations of members that announced a newer one. */
  private restartedMembers(service: string): FormerMember[] {
    const {machine, roster} = this.groups;
    return machine.members.filter(recorded => {
      const current = roster.get(recorded.instance);
      const isOfService = recorded.service === service;
      return isOfService && current && !isSameIncarnation(current, recorded);
    });
  }
}

/** A former member as control connects to it. */
function toMember(service: string, former: FormerMember): Member {
  const {instance, born, address} = former;
  return {
    service,
    instance,
    born,
    address,
    site: '',
    slots: 0,
    draining: true,
    role: ClaimedRole.CLAIMED_ROLE_UNSPECIFIED,
    recovering: false,
  };
}

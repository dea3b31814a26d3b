import type {Member} from '../../../schema/generated/fleet';
import type {FleetStateMachine} from '../../fleet_state/common/fleet_state_machine';
import {hasChosenLog} from '../../promotion/common/complete_log';
import type {Roster} from '../../roster/common/roster';
import type {MemberMonitors} from './member_monitors';

/** The members of services as the control leader knows them. */
export class ServiceGroups {
  constructor(
    readonly machine: FleetStateMachine,
    readonly roster: Roster,
    readonly monitors: MemberMonitors,
  ) {}

  membersOf(service: string): Member[] {
    return this.roster.all().filter(member => member.service === service);
  }

  /** Number of the current assignment of a service; 0 before the first. */
  epochOf(service: string): number {
    return this.machine.assignmentOf(service)?.epoch ?? 0;
  }

  /** The assigned primary, if it still has the log that it was chosen for. */
  assignedPrimary(service: string): Member | undefined {
    const instance = this.machine.assignmentOf(service)?.instance ?? '';
    const member = this.roster.get(instance);
    if (!member || this.isUncertain(member)) return undefined;
    const baseline = this.machine.baselineOf(service);
    return hasChosenLog(member, baseline) ? member : undefined;
  }

  /**
   * Whether a member may have restarted. Guard: one that reconnected may have
   * lost its log, until its next announcement shows its incarnation.
   */
  isUncertain(member: Member): boolean {
    const {reconnectedAt} = this.monitors.of(member);
    return this.roster.lastHeardAt(member.instance) < reconnectedAt;
  }
}

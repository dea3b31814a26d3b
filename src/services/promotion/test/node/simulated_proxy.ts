import {
  PrimaryLeases,
  RENEWAL_INTERVAL_MS,
} from '../../../lease/common/primary_leases';
import {verifyPrimary} from '../../../dispatch/common/verify_primary';
import type {PrimaryAssignment} from '../../../../schema/generated/fleet';
import type {LoggingGroup, LoggingMember} from './logging_group';
import {
  SERVICE,
  type Leadership,
  type SimulatedControl,
} from './simulated_control';
import {delay} from './virtual_time';

const LINK_DELAY_MS = 10;

/**
 * A proxy that writes at the primary while it holds a lease on it, or while it
 * is partitioned from control and the members verify the primary.
 */
export class SimulatedProxy {
  private readonly leases = new PrimaryLeases({now: () => Date.now()});
  private assignment: PrimaryAssignment | undefined;
  private revision = 0;
  private nextRenewalAt = 0;
  private pending: {commit: number; primary: LoggingMember}[] = [];
  leader: Leadership | undefined;
  /** Whether it is partitioned from control, together with hidden members. */
  isCut = false;
  /** The members that it last heard of. */
  private knownMembers: readonly LoggingMember[] = [];

  constructor(
    private readonly name: string,
    private readonly group: LoggingGroup,
    private readonly control: SimulatedControl,
    private readonly acknowledge: (commit: number) => void,
  ) {}

  /** The primary, if it is leased and serves. */
  get primary(): LoggingMember | undefined {
    const {assignment} = this;
    if (!assignment) return undefined;
    const member = this.group.member(assignment.instance);
    const isHeld = this.leases.isHeld(SERVICE, assignment.epoch);
    return isHeld && this.canUse(member) ? member : undefined;
  }

  /** The primary that it knew before it was partitioned from control. */
  private get unleasedPrimary(): LoggingMember | undefined {
    const {assignment} = this;
    if (!assignment || !this.isCut) return undefined;
    const member = this.group.member(assignment.instance);
    return this.canUse(member) ? member : undefined;
  }

  canUse({isUp, isPrimary, isHidden}: LoggingMember): boolean {
    return isUp && isPrimary && (this.isCut || !isHidden);
  }

  attach(leader: Leadership): void {
    this.leases.onDidDetach();
    this.leader = leader;
    this.revision = 0;
    this.nextRenewalAt = 0;
  }

  tick(): void {
    const {leader} = this;
    if (leader && !this.isCut && leader.isRunning) {
      this.knownMembers = [...this.group.all];
      this.receiveAssignments(leader);
      if (Date.now() >= this.nextRenewalAt) void this.renew(leader);
    }
    this.write();
  }

  private receiveAssignments(leader: Leadership): void {
    const assignments = leader.published.changedSince(this.revision);
    this.revision = leader.published.revision;
    if (assignments.length > 0) void this.apply(leader, assignments);
  }

  private async apply(
    leader: Leadership,
    assignments: readonly PrimaryAssignment[],
  ): Promise<void> {
    await delay(LINK_DELAY_MS);
    if (this.leader !== leader || this.isCut) return;
    const returned = this.leases.onAssignments(assignments);
    for (const assignment of assignments) {
      const isAssigned = assignment.instance !== '';
      const isNewest = assignment.epoch >= (this.assignment?.epoch ?? 0);
      if (isAssigned && isNewest) this.assignment = assignment;
    }
    await delay(LINK_DELAY_MS);
    for (const {service, epoch} of returned) {
      leader.holders.onReturned(this.name, service, epoch);
    }
  }

  private async renew(leader: Leadership): Promise<void> {
    this.nextRenewalAt = Date.now() + RENEWAL_INTERVAL_MS;
    const number = this.leases.beginRenewal();
    await delay(LINK_DELAY_MS);
    const isConfirmed = await this.control.confirm(leader);
    if (!isConfirmed || this.leader !== leader || this.isCut) return;
    leader.holders.onRenewed(this.name, Date.now());
    await delay(LINK_DELAY_MS);
    if (this.leader === leader) this.leases.onRenewed(number);
  }

  /** A commit is acknowledged once a replica has it. */
  private write(): void {
    const leased = this.primary;
    const primary = leased ?? this.unleasedPrimary;
    this.pending = this.pending.filter(entry => entry.primary === primary);
    const kept = this.pending.filter(entry => this.isKept(entry));
    const isProven = leased !== undefined || this.isVerified(primary);
    if (isProven) {
      for (const {commit} of kept) this.acknowledge(commit);
      this.pending = this.pending.filter(entry => !kept.includes(entry));
    }
    if (!primary) return;
    this.pending.push({commit: this.group.write(primary), primary});
  }

  private isVerified(primary: LoggingMember | undefined): boolean {
    if (!primary) return false;
    const replies = this.knownMembers.map(({instance, isUp, status}) => {
      return {instance, status: isUp ? status : undefined};
    });
    return verifyPrimary(primary.instance, replies) !== undefined;
  }

  private isKept(entry: {commit: number; primary: LoggingMember}): boolean {
    return this.group.all.some(member => {
      return (
        member !== entry.primary && member.isUp && member.holds(entry.commit)
      );
    });
  }
}

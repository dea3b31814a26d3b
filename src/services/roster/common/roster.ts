import type {Member} from '../../../schema/generated/fleet';
import {ClaimedRole} from '../../../schema/generated/fleet';

/** An announcement of a member. */
export interface Announcement {
  readonly member: Member;
  /** Increases with each announcement of one incarnation of a member. */
  readonly sequence: number;
}

interface RosterEntry {
  member: Member;
  sequence: number;
  /** -Infinity if the member is known from the log only. */
  lastHeardAt: number;
}

/**
 * The members known to the control leader: initially those of the log, then
 * updated by announcements.
 */
export class Roster {
  private readonly entries = new Map<string, RosterEntry>();
  private currentRevision = 0;

  /** Increases with each change that is relevant for proxies. */
  get revision(): number {
    return this.currentRevision;
  }

  all(): Member[] {
    return [...this.entries.values()].map(({member}) => member);
  }

  get(instance: string): Member | undefined {
    return this.entries.get(instance)?.member;
  }

  lastHeardAt(instance: string): number {
    return this.entries.get(instance)?.lastHeardAt ?? -Infinity;
  }

  /** Adds a member of the log that has not announced itself yet. */
  restore(member: Member): void {
    if (this.entries.has(member.instance)) return;
    const entry = {member, sequence: -1, lastHeardAt: -Infinity};
    this.entries.set(member.instance, entry);
    this.currentRevision++;
  }

  /**
   * Applies an announcement. One that arrives out of order is ignored: it could
   * undo a drain or a change of role, or restore an earlier incarnation.
   */
  announce({member, sequence}: Announcement, now: number): void {
    const existing = this.entries.get(member.instance);
    if (existing && isOutdated(existing, member, sequence)) return;
    const hasChanged = !existing || !isSame(existing.member, member);
    this.entries.set(member.instance, {member, sequence, lastHeardAt: now});
    if (hasChanged) this.currentRevision++;
  }

  remove(instance: string): void {
    if (this.entries.delete(instance)) this.currentRevision++;
  }

  /** Sets the primary of a service, after a member or a promotion proved it. */
  setPrimary(service: string, instance: string): void {
    for (const entry of this.entries.values()) {
      if (entry.member.service !== service) continue;
      const isPrimary = entry.member.instance === instance;
      const role = isPrimary
        ? ClaimedRole.CLAIMED_ROLE_PRIMARY
        : ClaimedRole.CLAIMED_ROLE_REPLICA;
      if (entry.member.role === role) continue;
      entry.member = {...entry.member, role};
      this.currentRevision++;
    }
  }
}

/** Sequence numbers start again with each incarnation. */
function isOutdated(
  existing: RosterEntry,
  {born}: Member,
  sequence: number,
): boolean {
  if (born !== existing.member.born) return born < existing.member.born;
  return sequence <= existing.sequence;
}

function isSame(a: Member, b: Member): boolean {
  return (
    a.address === b.address &&
    a.draining === b.draining &&
    a.role === b.role &&
    a.slots === b.slots &&
    a.born === b.born &&
    a.service === b.service &&
    a.site === b.site
  );
}

import type {Member} from '../../../schema/generated/fleet';
import {ClaimedRole} from '../../../schema/generated/fleet';

/** One announcement of a member. */
export interface Announcement {
  readonly member: Member;
  /** Increases with each announcement of one life of a member. */
  readonly sequence: number;
}

interface Entry {
  member: Member;
  sequence: number;
  /** -Infinity where it is known from the log only. */
  heardAt: number;
}

/**
 * The members as the leader of control knows them: those of the log at once,
 * and what they announce since.
 */
export class Roster {
  private readonly entries = new Map<string, Entry>();
  private changes = 0;

  /** Increases with each change that proxies must hear of. */
  get revision(): number {
    return this.changes;
  }

  all(): Member[] {
    return [...this.entries.values()].map(({member}) => member);
  }

  get(instance: string): Member | undefined {
    return this.entries.get(instance)?.member;
  }

  lastHeardAt(instance: string): number {
    return this.entries.get(instance)?.heardAt ?? -Infinity;
  }

  /** Takes a member in that the log names. */
  restore(member: Member): void {
    if (this.entries.has(member.instance)) return;
    const entry = {member, sequence: -1, heardAt: -Infinity};
    this.entries.set(member.instance, entry);
    this.changes++;
  }

  /**
   * Takes an announcement. One that was overtaken on its way is ignored: it
   * would undo a drain or a change of role, or bring back an earlier life.
   */
  announce({member, sequence}: Announcement, now: number): void {
    const known = this.entries.get(member.instance);
    if (known && isOvertaken(known, member, sequence)) return;
    const isNews = !known || !isSame(known.member, member);
    this.entries.set(member.instance, {member, sequence, heardAt: now});
    if (isNews) this.changes++;
  }

  remove(instance: string): void {
    if (this.entries.delete(instance)) this.changes++;
  }

  /** Notes which member leads, as members or a promotion proved. */
  setPrimary(service: string, instance: string): void {
    for (const entry of this.entries.values()) {
      if (entry.member.service !== service) continue;
      const leads = entry.member.instance === instance;
      const role = leads
        ? ClaimedRole.CLAIMED_ROLE_PRIMARY
        : ClaimedRole.CLAIMED_ROLE_REPLICA;
      if (entry.member.role === role) continue;
      entry.member = {...entry.member, role};
      this.changes++;
    }
  }
}

/** A process that starts again counts its announcements from the start. */
function isOvertaken(known: Entry, {born}: Member, sequence: number): boolean {
  if (born !== known.member.born) return born < known.member.born;
  return sequence <= known.sequence;
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

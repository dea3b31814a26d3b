import type {EndedMember, Member} from '../../../schema/generated/fleet';

/** Bounds memory; the oldest ones are dropped. */
const MAX_ENDED_MEMBERS = 1_000;

/**
 * Incarnations of members that left or were replaced at their address. Part of
 * the replicated state.
 *
 * Guard: the network may deliver a heartbeat after its sender ended. Taken as
 * that of a member, it would make a promotion wait for a log that is gone.
 */
export class EndedMembers {
  private members: EndedMember[] = [];

  get all(): EndedMember[] {
    return this.members;
  }

  restore(members: readonly EndedMember[]): void {
    this.members = [...members];
  }

  add(member: EndedMember): void {
    const others = this.members.filter(other => !isSameInstance(other, member));
    this.members = [...others, member].slice(-MAX_ENDED_MEMBERS);
  }

  /** The instance is a member again. */
  remove(member: Pick<Member, 'service' | 'instance'>): void {
    this.members = this.members.filter(other => !isSameInstance(other, member));
  }

  /**
   * Whether this incarnation has ended. An instance that starts again is a
   * later incarnation, or has another address if it does not say when it
   * started.
   */
  includes(member: Pick<Member, 'service' | 'instance' | 'born' | 'address'>) {
    return this.members.some(ended => {
      const isLater =
        member.born > ended.born || member.address !== ended.address;
      return isSameInstance(ended, member) && !isLater;
    });
  }
}

function isSameInstance(
  a: Pick<Member, 'service' | 'instance'>,
  b: Pick<Member, 'service' | 'instance'>,
): boolean {
  return a.service === b.service && a.instance === b.instance;
}

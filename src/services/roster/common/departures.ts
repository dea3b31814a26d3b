import type {Member} from '../../../schema/generated/fleet';

/** Bounds memory; the oldest departures are dropped. */
const MAX_DEPARTURES = 1_000;

interface Departure {
  readonly member: Member;
  /** Whether its removal is not in the control log yet. */
  isPending: boolean;
}

/**
 * Members that announced their end during one leadership. They must not come
 * back by their records in the control log, nor by late announcements.
 */
export class Departures {
  private readonly departures = new Map<string, Departure>();

  /** Members whose removal is not in the control log yet. */
  get all(): Member[] {
    return [...this.departures.values()]
      .filter(({isPending}) => isPending)
      .map(({member}) => member);
  }

  /** Those of one service. */
  of(service: string): Member[] {
    return this.all.filter(member => member.service === service);
  }

  begin(member: Member): void {
    this.departures.delete(member.instance);
    this.departures.set(member.instance, {member, isPending: true});
    const [oldest] = this.departures.keys();
    if (this.departures.size > MAX_DEPARTURES) this.departures.delete(oldest!);
  }

  /** Its removal was committed. */
  complete(instance: string): void {
    const departure = this.departures.get(instance);
    if (departure) departure.isPending = false;
  }

  /** Its removal failed; the member counts again. */
  cancel(instance: string): void {
    this.departures.delete(instance);
  }

  /** Whether this incarnation, or an earlier one, has left. */
  includes({instance, born}: Pick<Member, 'instance' | 'born'>): boolean {
    const departure = this.departures.get(instance);
    return departure !== undefined && born <= departure.member.born;
  }
}

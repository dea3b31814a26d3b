import type {PrimaryAssignment} from '../../../schema/generated/fleet';

interface Notice {
  readonly lead: PrimaryAssignment;
  readonly revision: number;
}

/** Who leads which service, as the leader of control tells its proxies. */
export class PublishedPrimaries {
  private readonly notices = new Map<string, Notice>();
  private changes = 0;

  /** Increases with each change. */
  get revision(): number {
    return this.changes;
  }

  /** What changed after a revision. */
  changedSince(revision: number): PrimaryAssignment[] {
    if (revision === this.changes) return [];
    return [...this.notices.values()]
      .filter(notice => notice.revision > revision)
      .map(({lead}) => lead);
  }

  /**
   * Takes a lead of the control log; nothing changes at a known epoch.
   *
   * Guard: one whose order may not have been carried out is not told yet. A
   * proxy would send reads to the heir while that is still a replica; it led
   * by the time it was asked behind the read, and the read was of a log that
   * it had not applied.
   */
  offer(lead: PrimaryAssignment): void {
    if (!lead.pending) this.publish(lead);
  }

  /** Takes a lead of the control log whose member was seen to lead. */
  publish(lead: PrimaryAssignment): void {
    const known = this.notices.get(lead.service)?.lead;
    if (!known || lead.epoch > known.epoch) this.put(lead);
  }

  /** From now on nobody may rely on the lead of a service. */
  revoke(service: string): void {
    const known = this.notices.get(service)?.lead;
    if (known && known.instance !== '') this.put({...known, instance: ''});
  }

  /** Whether proxies were told to rely on nobody. */
  isRevoked(service: string): boolean {
    return this.notices.get(service)?.lead.instance === '';
  }

  /** The epoch that proxies know, 0 before the first. */
  epochOf(service: string): number {
    return this.notices.get(service)?.lead.epoch ?? 0;
  }

  private put(lead: PrimaryAssignment): void {
    this.notices.set(lead.service, {lead, revision: ++this.changes});
  }
}

import type {PrimaryAssignment} from '../../../schema/generated/fleet';

interface PublishedAssignment {
  readonly assignment: PrimaryAssignment;
  readonly revision: number;
}

/** Primary assignments that the control leader publishes to its proxies. */
export class PublishedPrimaries {
  private readonly published = new Map<string, PublishedAssignment>();
  private changeCount = 0;

  /** Increases with each change. */
  get revision(): number {
    return this.changeCount;
  }

  /** Assignments that changed after a revision. */
  changedSince(revision: number): PrimaryAssignment[] {
    if (revision === this.changeCount) return [];
    return [...this.published.values()]
      .filter(entry => entry.revision > revision)
      .map(({assignment}) => assignment);
  }

  /**
   * Publishes an assignment of the control log unless its promotion is pending.
   *
   * Guard: proxies would send reads to a successor that is still a replica. It
   * could be the primary by the time they check its role, and the read would
   * miss commits that it had not applied.
   */
  offer(assignment: PrimaryAssignment): void {
    if (!assignment.pending) this.publish(assignment);
  }

  /** Publishes an assignment that took effect; a known epoch is ignored. */
  publish(assignment: PrimaryAssignment): void {
    const known = this.published.get(assignment.service)?.assignment;
    if (!known || assignment.epoch > known.epoch) this.put(assignment);
  }

  /** Makes the proxies return their leases on the primary of a service. */
  revoke(service: string): void {
    const known = this.published.get(service)?.assignment;
    if (known && known.instance !== '') this.put({...known, instance: ''});
  }

  /** Whether leases on the primary of a service are revoked. */
  isRevoked(service: string): boolean {
    return this.published.get(service)?.assignment.instance === '';
  }

  /** The published epoch; 0 before the first. */
  epochOf(service: string): number {
    return this.published.get(service)?.assignment.epoch ?? 0;
  }

  private put(assignment: PrimaryAssignment): void {
    this.published.set(assignment.service, {
      assignment,
      revision: ++this.changeCount,
    });
  }
}

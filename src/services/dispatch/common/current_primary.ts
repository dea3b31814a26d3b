/** The primary of a service, as assigned by control. */
export class CurrentPrimary {
  private assigned = '';
  private assignedEpoch = 0;
  private isDemoted = false;

  /** The assigned member; '' while there is none. */
  get instance(): string {
    return this.assigned;
  }

  /** The epoch of the assignment. */
  get epoch(): number {
    return this.assignedEpoch;
  }

  /** Whether a member is assigned that did not report it is a replica. */
  get isUsable(): boolean {
    return this.assigned !== '' && !this.isDemoted;
  }

  /** Applies an assignment unless it is older; returns whether it is new. */
  update(instance: string, epoch: number): boolean {
    if (epoch < this.assignedEpoch) return false;
    const isNew = epoch !== this.assignedEpoch || instance !== this.assigned;
    if (isNew) this.isDemoted = false;
    this.assigned = instance;
    this.assignedEpoch = epoch;
    return isNew;
  }

  /** Records that a member is not primary; returns whether that is new. */
  markDemoted(instance: string): boolean {
    if (this.assigned !== instance || this.isDemoted) return false;
    this.isDemoted = true;
    return true;
  }

  /** Records that a member is primary; returns whether that is new. */
  markPromoted(instance: string): boolean {
    if (this.assigned !== instance || !this.isDemoted) return false;
    this.isDemoted = false;
    return true;
  }
}

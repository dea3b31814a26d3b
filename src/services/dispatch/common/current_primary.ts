/** The member that leads a service, by control's word and by its own. */
export class CurrentPrimary {
  private named = '';
  private namedEpoch = 0;
  private denied = false;

  /** The member that control named; '' while it names none. */
  get instance(): string {
    return this.named;
  }

  /** The number of the decision that named it. */
  get epoch(): number {
    return this.namedEpoch;
  }

  /** Whether there is such a member that did not say otherwise itself. */
  get isUsable(): boolean {
    return this.named !== '' && !this.denied;
  }

  /** Takes control's word; whether it is news. Older decisions are ignored. */
  update(instance: string, epoch: number): boolean {
    if (epoch < this.namedEpoch) return false;
    const isNews = epoch !== this.namedEpoch || instance !== this.named;
    if (isNews) this.denied = false;
    this.named = instance;
    this.namedEpoch = epoch;
    return isNews;
  }

  /** Takes a member's own word that it does not lead; whether that is news. */
  markDemoted(instance: string): boolean {
    if (this.named !== instance || this.denied) return false;
    this.denied = true;
    return true;
  }

  /** Takes a member's own word that it leads; whether that is news. */
  markPromoted(instance: string): boolean {
    if (this.named !== instance || !this.denied) return false;
    this.denied = false;
    return true;
  }
}

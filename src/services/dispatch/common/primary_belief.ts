/** Which member an instance takes for the primary, and on whose word. */
export class PrimaryBelief {
  private believed = '';
  private highestTerm = 0;
  private readonly deposed = new Set<string>();

  /** The member that is taken for the primary; '' before any was heard of. */
  get instance(): string {
    return this.believed;
  }

  get term(): number {
    return this.highestTerm;
  }

  /** Whether the member that is believed in did not say otherwise itself. */
  get isStanding(): boolean {
    return this.believed !== '' && !this.deposed.has(this.believed);
  }

  /**
   * Takes a member for the primary of a term; whether it is another one. The
   * word of a term that is over is not taken: it may have been held up.
   */
  believe(instance: string, term: number): boolean {
    if (term < this.highestTerm) return false;
    this.deposed.delete(instance);
    this.highestTerm = term;
    const isOther = instance !== this.believed;
    this.believed = instance;
    return isOther;
  }

  /** Takes a member's own word that it does not lead; whether that is news. */
  depose(instance: string): boolean {
    if (this.deposed.has(instance)) return false;
    this.deposed.add(instance);
    return true;
  }

  /** Takes the first member that says it leads and did not deny it later. */
  choose(claimants: readonly string[]): boolean {
    if (this.isStanding) return false;
    const claimant = claimants.find(instance => !this.deposed.has(instance));
    return claimant !== undefined && this.believe(claimant, this.highestTerm);
  }

  /** A member is gone; nobody is believed in its place yet. */
  forget(instance: string): void {
    this.deposed.delete(instance);
    if (this.believed === instance) this.believed = '';
  }
}

/** Work that is not begun again while it is under way, by key. */
export class SingleFlight {
  private readonly underWay = new Set<string>();

  /** Begins the work unless the same is under way. */
  start(key: string, work: () => Promise<void>): void {
    if (this.underWay.has(key)) return;
    this.underWay.add(key);
    void work().finally(() => this.underWay.delete(key));
  }

  isRunning(key: string): boolean {
    return this.underWay.has(key);
  }
}

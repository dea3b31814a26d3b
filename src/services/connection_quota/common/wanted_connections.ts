const HALF_LIFE_MS = 1_500;

/**
 * The connections to one member that operations need. Follows a rise at once
 * and a fall over seconds, as operations arrive in bursts.
 */
export class WantedConnections {
  private value = 0;
  private recordedAt = 0;

  record(wanted: number, now: number): void {
    this.value = Math.max(wanted, this.decayed(now));
    this.recordedAt = now;
  }

  get(now: number): number {
    return Math.round(this.decayed(now));
  }

  private decayed(now: number): number {
    return this.value * 0.5 ** ((now - this.recordedAt) / HALF_LIFE_MS);
  }
}

/** What was wanted counts half as much after this, in milliseconds. */
const HALF_LIFE_MS = 1_500;

/**
 * How many connections to one member work keeps busy: more counts at once,
 * less over seconds, for work comes in bursts.
 */
export class WantedConnections {
  private value = 0;
  private at = 0;

  note(wanted: number, now: number): void {
    this.value = Math.max(wanted, this.decayed(now));
    this.at = now;
  }

  get(now: number): number {
    return Math.round(this.decayed(now));
  }

  private decayed(now: number): number {
    return this.value * 0.5 ** ((now - this.at) / HALF_LIFE_MS);
  }
}

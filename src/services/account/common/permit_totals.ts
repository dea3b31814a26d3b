import type {PermitDecision} from './permit_counting';

/** Permits that expire within this time are counted together. */
const SLOT_MS = 50;

/** Counts the decisions of a counter for its metrics. */
export class PermitTotals {
  granted = 0;
  refused = 0;
  waitedFor = 0;
  returned = 0;
  /** Number of permits by their time of expiry, rounded up. */
  private readonly countByExpiry = new Map<number, number>();

  onDidDecide(decision: PermitDecision, now: number): void {
    if (decision.kind === 'refused') this.refused++;
    if (decision.kind !== 'granted') return;
    const {count, validMs, waitMs} = decision;
    this.granted += count;
    if (waitMs > 0) this.waitedFor++;
    const slot = Math.ceil((now + validMs) / SLOT_MS) * SLOT_MS;
    this.countByExpiry.set(slot, (this.countByExpiry.get(slot) ?? 0) + count);
    this.removeExpired(now);
  }

  onDidReturn(count: number): void {
    this.returned += count;
  }

  /** Permits that did not expire yet, used or not. */
  outstanding(now: number): number {
    this.removeExpired(now);
    return [...this.countByExpiry.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
  }

  private removeExpired(now: number): void {
    for (const slot of this.countByExpiry.keys()) {
      if (slot > now) return;
      this.countByExpiry.delete(slot);
    }
  }
}

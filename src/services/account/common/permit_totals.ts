import type {PermitDecision} from './permit_counting';

/** Permits that end at about the same time are added up, in milliseconds. */
const SLOT_MS = 50;

/** Counts what a counter decides, for its metrics. */
export class PermitTotals {
  granted = 0;
  refused = 0;
  waitedFor = 0;
  returned = 0;
  /** Permits by the times at which they end. */
  private readonly ending = new Map<number, number>();

  onDecided(decision: PermitDecision, now: number): void {
    if (decision.kind === 'refused') this.refused++;
    if (decision.kind !== 'granted') return;
    const {count, validMs, waitMs} = decision;
    this.granted += count;
    if (waitMs > 0) this.waitedFor++;
    const slot = Math.ceil((now + validMs) / SLOT_MS) * SLOT_MS;
    this.ending.set(slot, (this.ending.get(slot) ?? 0) + count);
    this.forgetEnded(now);
  }

  onReturned(count: number): void {
    this.returned += count;
  }

  /** Permits that were granted and did not end by time, used ones too. */
  out(now: number): number {
    this.forgetEnded(now);
    return [...this.ending.values()].reduce((sum, count) => sum + count, 0);
  }

  private forgetEnded(now: number): void {
    for (const slot of this.ending.keys()) {
      if (slot > now) return;
      this.ending.delete(slot);
    }
  }
}

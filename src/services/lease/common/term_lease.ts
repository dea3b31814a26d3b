import type {Clock} from '../../../base/common/clock';
import {laterPosition, type Position} from '../../position/common/position';

/**
 * A proxy's lease on one term, without which it acknowledges no write.
 *
 * Guard: no write of a replaced primary may be acknowledged. The lease counts
 * from the proxy's request, before the majority confirmed the leader, so it
 * expires before control begins another term.
 */
export class TermLease {
  private leasedTerm = 0;
  private expiresAt = -Infinity;
  private highest: Position | undefined;

  constructor(private readonly clock: Clock) {}

  /** Time of the clock that the lease is measured on, in milliseconds. */
  now(): number {
    return this.clock.now();
  }

  /** The leased term; 0 for none. */
  get term(): number {
    return this.leasedTerm;
  }

  /** The highest position that this proxy has acknowledged. */
  get highestAcknowledged(): Position | undefined {
    return this.highest;
  }

  extend(term: number, requestedAt: number, leaseMs: number): void {
    if (term < this.leasedTerm) return;
    if (term > this.leasedTerm) this.expiresAt = -Infinity;
    this.leasedTerm = term;
    this.expiresAt = Math.max(this.expiresAt, requestedAt + leaseMs);
  }

  /** Returns all leases on lower terms for good. */
  returnBelow(term: number): void {
    if (term <= this.leasedTerm) return;
    this.leasedTerm = term;
    this.expiresAt = -Infinity;
  }

  isHeld(term: number, now: number): boolean {
    return this.expiredForMs(term, now) < 0;
  }

  /** Time since the lease on a term expired, in milliseconds. */
  expiredForMs(term: number, now: number): number {
    return this.leasedTerm === term ? now - this.expiresAt : Infinity;
  }

  /** Records an acknowledgement; false if the lease does not allow it. */
  acknowledge(position: Position, now: number): boolean {
    if (!this.isHeld(position.term, now)) return false;
    this.highest = this.highest
      ? laterPosition(this.highest, position)
      : position;
    return true;
  }
}

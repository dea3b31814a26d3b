import type {Clock} from '../../../base/common/clock';
import {laterPosition, type Position} from '../../position/common/position';

/**
 * A proxy's side of one term lease: whether it may acknowledge a write.
 *
 * Guard against a replaced primary's write being acknowledged: the lease is
 * counted from when the proxy asked, which lies before the majority's
 * confirmation, so it ends before control begins another term.
 */
export class TermLease {
  private held = 0;
  private expiresAt = -Infinity;
  private highest: Position | undefined;

  constructor(private readonly clock: Clock) {}

  /** The time that the lease is counted on, in milliseconds. */
  now(): number {
    return this.clock.now();
  }

  /** The term that the lease is on, 0 for none. */
  get term(): number {
    return this.held;
  }

  /** The highest position acknowledged by this proxy, ever. */
  get highestAcknowledged(): Position | undefined {
    return this.highest;
  }

  extend(term: number, askedAt: number, leaseMs: number): void {
    if (term < this.held) return;
    if (term > this.held) this.expiresAt = -Infinity;
    this.held = term;
    this.expiresAt = Math.max(this.expiresAt, askedAt + leaseMs);
  }

  /** Gives up every lease on a term below this one, for good. */
  returnBelow(term: number): void {
    if (term <= this.held) return;
    this.held = term;
    this.expiresAt = -Infinity;
  }

  isHeld(term: number, now: number): boolean {
    return this.expiredForMs(term, now) < 0;
  }

  /** For how long the lease on a term has been over, in milliseconds. */
  expiredForMs(term: number, now: number): number {
    return this.held === term ? now - this.expiresAt : Infinity;
  }

  /** Notes an acknowledgement; false where the lease does not allow it. */
  acknowledge(position: Position, now: number): boolean {
    if (!this.isHeld(position.term, now)) return false;
    this.highest = this.highest
      ? laterPosition(this.highest, position)
      : position;
    return true;
  }
}

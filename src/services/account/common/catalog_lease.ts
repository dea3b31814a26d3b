import type {Clock} from '../../../base/common/clock';

/**
 * How long a confirmation by control is valid, as a fraction of the time in
 * which a withdrawn key has to be out of use. Long enough that a short loss of
 * control refuses no caller; the rest allows for clock drift and late reads.
 */
const LEASE_FRACTION = 0.8;

/**
 * A proxy's lease on its catalog, needed to serve requests with keys.
 *
 * Guard: a frozen or disconnected proxy, or one that follows a deposed leader,
 * would serve withdrawn keys. The lease runs from the request that a majority
 * confirmed, so one from before a withdrawal has expired by the bound. It is
 * extended only while this proxy holds the newest catalog, and its clock counts
 * suspensions.
 */
export class CatalogLease {
  private expiresAt = -Infinity;

  /**
   * @param revocationMs How long a key may be in use after its withdrawal, in
   *     milliseconds; 0 where there is no bound and no lease is needed.
   */
  constructor(
    private readonly revocationMs: number,
    private readonly clock: Clock,
  ) {}

  /** Records that a majority confirmed a request that was sent at a time. */
  extendLease(requestedAt: number): void {
    const end = requestedAt + this.revocationMs * LEASE_FRACTION;
    this.expiresAt = Math.max(this.expiresAt, end);
  }

  /** Time since it expired, in milliseconds; below 0 while it is held. */
  get expiredForMs(): number {
    return this.clock.now() - this.expiresAt;
  }

  get isHeld(): boolean {
    return this.revocationMs === 0 || this.expiredForMs < 0;
  }
}

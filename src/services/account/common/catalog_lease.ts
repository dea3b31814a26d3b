import type {Clock} from '../../../base/common/clock';

/**
 * The part of the time in which a withdrawn key has to be out of use for which a
 * proxy relies on what control last confirmed. Above the part after which
 * nothing is owed to callers of an instance that is cut off (0.6) and one more
 * renewal, so that short losses of control cost nobody anything; the rest is
 * for clocks that drift and for what was read late.
 */
const LEASE_PART = 0.8;

/**
 * A proxy's lease on the catalog that it holds.
 *
 * Guard: a proxy that is cut off from control, frozen, or follows a deposed
 * leader never hears that a key was withdrawn, and would serve its holder for
 * as long as that lasts. The lease is counted from a question to control, on a
 * clock that counts suspensions, and extended only where a majority confirmed
 * the leader after it and this proxy holds the newest catalog by then. So no
 * request that comes later than the bound after an acknowledged withdrawal
 * meets a lease that began before the withdrawal.
 */
export class CatalogLease {
  private until = -Infinity;

  /**
   * @param boundMs How long after its withdrawal a key may be in use, in
   *     milliseconds; 0 where control's word is not waited for.
   */
  constructor(
    private readonly boundMs: number,
    private readonly clock: Clock,
  ) {}

  /** Takes a majority's confirmation of a question asked at a time. */
  extendLease(askedAt: number): void {
    const end = askedAt + this.boundMs * LEASE_PART;
    this.until = Math.max(this.until, end);
  }

  /** How long it has been over, in milliseconds; below 0 while it is held. */
  get expiredForMs(): number {
    return this.clock.now() - this.until;
  }

  get isHeld(): boolean {
    return this.boundMs === 0 || this.expiredForMs < 0;
  }
}

import type {CheckoutRequirement} from '../common/checkout_request';
import type {ConnectionLimits} from './connection_limits';
import type {DispatcherDependencies} from './dispatcher_messages';
import type {MemberPool} from './member_pool';

/** Waiting is logged at most so often, in milliseconds. */
const LOG_EVERY_MS = 500;

/** What this instance has and would use of each member of a service. */
export class MemberDemand {
  private waiting = {primary: 0, read: 0};
  private loggedAt = -Infinity;

  constructor(
    private readonly around: DispatcherDependencies,
    private readonly limits: ConnectionLimits,
  ) {}

  /** Takes note that all that wait are offered places now. */
  onServing(): void {
    this.waiting = {primary: 0, read: 0};
  }

  /** Takes note that one of them found none. */
  onUnserved({kind}: CheckoutRequirement): void {
    this.waiting[kind]++;
  }

  /** How many of them found none so far. */
  get unservedCount(): number {
    return this.waiting.primary + this.waiting.read;
  }

  /** Tells what is handed out of connections what they are wanted for. */
  report(pools: Iterable<MemberPool>, primary: string): void {
    const {connectionQuota, service} = this.around;
    if (!connectionQuota.isReportRequested) return;
    const all = [...pools];
    this.logWaiting(all, primary);
    const readers = this.readersOf(all).length;
    for (const pool of all) {
      const {instance} = pool.member;
      const wanted = pool.usedCount + this.waitingFor(pool, primary, readers);
      connectionQuota.updateUse(service, instance, {open: pool.size, wanted});
    }
  }

  /** Says what those that wait for the primary wait for. */
  private logWaiting(pools: readonly MemberPool[], primary: string): void {
    const {service, clock, log} = this.around;
    const now = clock.now();
    const pool = pools.find(({member}) => member.instance === primary);
    if (this.waiting.primary === 0 || !pool) return;
    if (now - this.loggedAt < LOG_EVERY_MS) return;
    this.loggedAt = now;
    const {primary: waiting, read: reads} = this.waiting;
    const limit = this.limits.limitOf(pool.member);
    const fields = {service, instance: primary, waiting, reads, limit};
    log.info('Work waits for a primary.', {...fields, ...pool.state});
  }

  /** Closes what is beyond a member's grant, as far as it rests. */
  trim(pool: MemberPool): void {
    pool.trimTo(this.limits.grantOf(pool.member));
  }

  /** A member whose slots are full serves no more by more connections. */
  private waitingFor(
    pool: MemberPool,
    primary: string,
    readers: number,
  ): number {
    if (!pool.hasWindow || pool.isFailing) return 0;
    const writes = pool.member.instance === primary ? this.waiting.primary : 0;
    const isReader = this.isReader(pool) || readers === 0;
    return writes + (isReader ? this.readsEach(readers) : 0);
  }

  private readsEach(readers: number): number {
    return Math.ceil(this.waiting.read / Math.max(1, readers));
  }

  private readersOf(pools: readonly MemberPool[]): MemberPool[] {
    return pools.filter(pool => this.isReader(pool));
  }

  /** Reads wait for the members of the own region first. */
  private isReader(pool: MemberPool): boolean {
    const {member} = pool;
    return (
      this.limits.isSameRegion(member) && !member.draining && !pool.isFailing
    );
  }
}

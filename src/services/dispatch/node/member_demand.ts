import type {CheckoutRequirement} from '../common/checkout_request';
import type {ConnectionLimits} from './connection_limits';
import type {DispatcherDependencies} from './dispatcher_messages';
import type {MemberPool} from './member_pool';

const LOG_INTERVAL_MS = 500;

/** Reports the connections that this instance has and needs to each member. */
export class MemberDemand {
  private queuedCounts = {primary: 0, read: 0};
  private loggedAt = -Infinity;

  constructor(
    private readonly dependencies: DispatcherDependencies,
    private readonly limits: ConnectionLimits,
  ) {}

  /** Records that a pass over all queued requests begins. */
  onServing(): void {
    this.queuedCounts = {primary: 0, read: 0};
  }

  /** Records that a request got no connection in this pass. */
  onUnserved({kind}: CheckoutRequirement): void {
    this.queuedCounts[kind]++;
  }

  /** Requests without a connection so far in this pass. */
  get unservedCount(): number {
    return this.queuedCounts.primary + this.queuedCounts.read;
  }

  /** Reports open and required connections to the connection quota. */
  report(pools: Iterable<MemberPool>, primary: string): void {
    const {connectionQuota, service} = this.dependencies;
    if (!connectionQuota.isReportRequested) return;
    const all = [...pools];
    this.logQueued(all, primary);
    const readerCount = this.findReaders(all).length;
    for (const pool of all) {
      const {instance} = pool.member;
      const wanted =
        pool.usedCount + this.queuedCountOf(pool, primary, readerCount);
      connectionQuota.updateUse(service, instance, {open: pool.size, wanted});
    }
  }

  /** Logs why requests for the primary are queued. */
  private logQueued(pools: readonly MemberPool[], primary: string): void {
    const {service, clock, log} = this.dependencies;
    const now = clock.now();
    const pool = pools.find(({member}) => member.instance === primary);
    if (this.queuedCounts.primary === 0 || !pool) return;
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    const {primary: waiting, read: reads} = this.queuedCounts;
    const limit = this.limits.limitOf(pool.member);
    const fields = {service, instance: primary, waiting, reads, limit};
    log.info('Requests are queued for the primary.', {
      ...fields,
      ...pool.state,
    });
  }

  /** Closes idle connections beyond the member's grant. */
  trim(pool: MemberPool): void {
    pool.trimTo(this.limits.grantOf(pool.member));
  }

  /** Queued requests of a member that could use more connections. */
  private queuedCountOf(
    pool: MemberPool,
    primary: string,
    readerCount: number,
  ): number {
    if (!pool.hasWindow || pool.isFailing) return 0;
    const writeCount =
      pool.member.instance === primary ? this.queuedCounts.primary : 0;
    const isReader = this.isReader(pool) || readerCount === 0;
    return writeCount + (isReader ? this.readsPerReader(readerCount) : 0);
  }

  private readsPerReader(readerCount: number): number {
    return Math.ceil(this.queuedCounts.read / Math.max(1, readerCount));
  }

  private findReaders(pools: readonly MemberPool[]): MemberPool[] {
    return pools.filter(pool => this.isReader(pool));
  }

  /** Reads prefer members in the same region. */
  private isReader(pool: MemberPool): boolean {
    const {member} = pool;
    return (
      this.limits.isSameRegion(member) && !member.draining && !pool.isFailing
    );
  }
}

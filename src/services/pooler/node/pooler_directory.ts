import type {Clock} from '../../../base/common/clock';
import {EntriesByService} from '../../fleet_link/common/entries_by_service';
import {
  POOLER_COMPARER,
  type FleetPoolers,
} from '../../fleet_link/common/fleet_lists';
import type {Log} from '../../../base/node/log';
import {after, every} from '../../../base/node/timers';
import type {PoolerEntry} from '../../../schema/generated/fleet';
import {SHARED_USER} from '../../target_link/common/target_link';
import {
  NearestPoolerRanking,
  AccountAffinityRanking,
  type PoolerRequirements,
  type ProxyLocation,
} from '../common/pooler_ranking';
import {PoolerLink, type LinkState} from './pooler_link';

/**
 * Usable links per service: the one in use, and one for failover without the
 * delay of opening a link.
 */
const MIN_USABLE_LINKS = 2;
/** Pause before a failed link is opened again. */
const REOPEN_DELAY_MS = 300;
/** Interval at which missing links are opened and unused ones closed. */
const RECONCILE_INTERVAL_MS = 250;

/** How long requests do not wait for the link to a pooler that was lost. */
const NO_WAIT_AFTER_LOSS_MS = 5_000;
/** Cached rankings per service; enough for thousands of accounts. */
const MAX_RANKINGS_PER_SERVICE = 4_096;

const UNUSABLE_STATES: ReadonlySet<LinkState> = new Set([
  'silent',
  'recovering',
  'draining',
]);

/** The poolers that this proxy can use, and its links to them. */
export class PoolerDirectory {
  private readonly poolers = new EntriesByService(POOLER_COMPARER);
  /** Cached rankings by service, then by user and region of the primary. */
  private readonly rankings = new Map<string, Map<string, PoolerEntry[]>>();
  private addresses: ReadonlySet<string> = new Set();
  private readonly ownServices = new Set<string>();
  /**
   * Services with callers at this proxy whose connections are shared by all
   * accounts.
   */
  private readonly usedServices = new Set<string>();
  private readonly nearestRanking: NearestPoolerRanking;
  private readonly accountRanking: AccountAffinityRanking;
  /** Times at which links were lost, by address. */
  private readonly lostAt = new Map<string, number>();
  private readonly links = new Map<string, PoolerLink>();
  private readonly reopenDelayed = new Set<string>();

  constructor(
    private readonly location: ProxyLocation,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {
    this.nearestRanking = new NearestPoolerRanking(location);
    this.accountRanking = new AccountAffinityRanking(location);
    every(signal, RECONCILE_INTERVAL_MS, () => this.reconcile());
  }

  /**
   * Replaces the list of poolers. Rankings are computed on demand and are
   * discarded only for services whose poolers changed, since computing all of
   * them for each change is expensive in a large deployment.
   */
  setPoolers({poolers}: FleetPoolers): void {
    for (const service of this.poolers.update(poolers)) {
      this.rankings.delete(service);
    }
    this.addresses = new Set(poolers.map(({address}) => address));
    this.ownServices.clear();
    for (const {service, instance} of poolers) {
      if (instance === this.location.instance) this.ownServices.add(service);
    }
    this.log.info('Received the list of poolers.', {
      services: this.poolers.services.length,
      poolers: poolers.length,
    });
    this.reconcile();
  }

  /** Number of links that are ready. */
  get readyLinkCount(): number {
    return [...this.links.values()].filter(link => link.state === 'ready')
      .length;
  }

  /** Services that this proxy is a pooler of. */
  get pooledServices(): string[] {
    return [...this.ownServices];
  }

  /**
   * Selects a link for a new request, or `local` to run it in this process;
   * undefined if there is no usable link.
   */
  selectLink(
    requirements: PoolerRequirements,
    excluded: ReadonlySet<PoolerLink>,
    mayWait: boolean,
  ): PoolerLink | 'local' | undefined {
    const isShared = requirements.user === SHARED_USER;
    if (isShared) this.markUsed(requirements.service);
    let fallback: PoolerLink | undefined;
    for (const {address, instance} of this.rank(requirements)) {
      if (instance === this.location.instance) return fallback ?? 'local';
      if (!isShared) this.open(address);
      const link = this.links.get(address);
      if (!link || excluded.has(link)) continue;
      const {state} = link;
      if (state === 'ready') return link;
      if (state === 'recovering') fallback ??= link;
      const isAwaited =
        state === 'connecting' && !this.wasLostRecently(address);
      if (!isShared && mayWait && isAwaited) return undefined;
    }
    return fallback;
  }

  /** Links that are ready, in order of preference. */
  readyLinks(requirements: PoolerRequirements): PoolerLink[] {
    const links = this.rank(requirements).map(({address}) =>
      this.links.get(address),
    );
    return links.filter(link => link?.state === 'ready') as PoolerLink[];
  }

  /** Whether a link that is being opened may soon be usable. */
  isConnecting(requirements: PoolerRequirements): boolean {
    return this.rank(requirements).some(({address}) => {
      return this.links.get(address)?.state === 'connecting';
    });
  }

  /** Opens links with the first caller of a service and keeps them. */
  private markUsed(service: string): void {
    if (this.usedServices.has(service)) return;
    this.usedServices.add(service);
    this.reconcile();
  }

  private rank(requirements: PoolerRequirements): readonly PoolerEntry[] {
    const {service, user, needsPrimary} = requirements;
    const isShared = user === SHARED_USER;
    const usesPrimaryRegion = needsPrimary && !isShared;
    const region = usesPrimaryRegion
      ? this.location.primaryRegionOf(service)
      : '';
    const key = `${user} ${region}`;
    const byRequirements =
      this.rankings.get(service) ?? new Map<string, PoolerEntry[]>();
    const cached = byRequirements.get(key);
    if (cached) return cached;
    const ranking = isShared ? this.nearestRanking : this.accountRanking;
    const ranked = ranking.rank(this.poolers.get(service), requirements);
    if (byRequirements.size >= MAX_RANKINGS_PER_SERVICE) byRequirements.clear();
    this.rankings.set(service, byRequirements.set(key, ranked));
    return ranked;
  }

  /** Whether a pooler was lost recently. */
  private wasLostRecently(address: string): boolean {
    const lostAt = this.lostAt.get(address) ?? -Infinity;
    return this.clock.now() - lostAt < NO_WAIT_AFTER_LOSS_MS;
  }

  /** Opens missing links and closes those that are no longer needed. */
  private reconcile(): void {
    if (this.signal.aborted) return;
    const desired = new Set<string>();
    for (const service of this.usedServices) {
      if (this.ownServices.has(service)) continue;
      const ranked = this.rank(sharedRequirements(service));
      for (const address of this.desiredAddresses(ranked)) desired.add(address);
    }
    for (const address of desired) this.open(address);
    for (const [address, link] of this.links) {
      const isNeeded = desired.has(address) || link.pendingCount > 0;
      if (!isNeeded && !this.addresses.has(address)) link.close();
    }
  }

  /**
   * The first poolers in rank, and one more for each that is not usable now.
   */
  private desiredAddresses(ranked: readonly PoolerEntry[]): string[] {
    const desired: string[] = [];
    let usableCount = 0;
    for (const {address} of ranked) {
      if (usableCount >= MIN_USABLE_LINKS) break;
      desired.push(address);
      const state = this.links.get(address)?.state;
      const isUnusable = state !== undefined && UNUSABLE_STATES.has(state);
      if (!isUnusable && !this.reopenDelayed.has(address)) usableCount++;
    }
    return desired;
  }

  private open(address: string): void {
    if (this.links.has(address) || this.reopenDelayed.has(address)) return;
    const onDidClose = () => {
      if (this.links.get(address) !== link) return;
      this.links.delete(address);
      this.reopenDelayed.add(address);
      this.lostAt.set(address, this.clock.now());
      after(this.signal, REOPEN_DELAY_MS, () => {
        this.reopenDelayed.delete(address);
        this.reconcile();
      });
      this.reconcile();
    };
    const link: PoolerLink = new PoolerLink(
      address,
      this.clock,
      this.log,
      this.signal,
      onDidClose,
    );
    this.links.set(address, link);
  }
}

function sharedRequirements(service: string): PoolerRequirements {
  return {service, user: SHARED_USER, needsPrimary: false};
}

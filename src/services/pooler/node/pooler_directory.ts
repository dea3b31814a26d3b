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
 * Links that are kept to poolers of a service that callers here use: the one in
 * use, and one that takes over without the time that a new link takes.
 */
const KEPT_LINKS = 2;
/** A pooler that could not be reached is tried again after this, in ms. */
const RETRY_MS = 300;
/** Links to poolers that fell silent are backed up within this, in ms. */
const TEND_MS = 250;

/** A pooler that was lost is not waited for again for so long, in ms. */
const LOST_MS = 5_000;
/** Orders of one service that are kept; some thousand accounts. */
const MOST_RANKS = 4_096;

const USELESS: ReadonlySet<LinkState> = new Set([
  'silent',
  'recovering',
  'leaving',
]);

/** The poolers that this proxy sends work to, and its links to them. */
export class PoolerDirectory {
  private readonly poolers = new EntriesByService(POOLER_COMPARER);
  /** Orders by service, then by user and the region of the primary. */
  private readonly ranked = new Map<string, Map<string, PoolerEntry[]>>();
  private addresses: ReadonlySet<string> = new Set();
  private readonly own = new Set<string>();
  /** Services that callers here use, by connections that are for anybody. */
  private readonly used = new Set<string>();
  private readonly nearest: NearestPoolerRanking;
  private readonly byAccount: AccountAffinityRanking;
  /** When poolers were last lost, by their addresses. */
  private readonly lostAt = new Map<string, number>();
  private readonly links = new Map<string, PoolerLink>();
  private readonly paused = new Set<string>();

  constructor(
    private readonly here: ProxyLocation,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {
    this.nearest = new NearestPoolerRanking(here);
    this.byAccount = new AccountAffinityRanking(here);
    every(signal, TEND_MS, () => this.tend());
  }

  /**
   * Takes the list. Orders are made when they are needed, and stay where the
   * poolers of their service do: each change of one service else costs each
   * proxy all services times all poolers.
   */
  setPoolers({poolers}: FleetPoolers): void {
    for (const service of this.poolers.update(poolers)) {
      this.ranked.delete(service);
    }
    this.addresses = new Set(poolers.map(({address}) => address));
    this.own.clear();
    for (const {service, instance} of poolers) {
      if (instance === this.here.instance) this.own.add(service);
    }
    this.log.info('Learns of the poolers.', {
      services: this.poolers.services.length,
      poolers: poolers.length,
    });
    this.tend();
  }

  /** Links to poolers that answer at present. */
  get readyLinkCount(): number {
    return [...this.links.values()].filter(link => link.state === 'ready')
      .length;
  }

  /** Services that this proxy keeps connections for. */
  get pooledServices(): string[] {
    return [...this.own];
  }

  /**
   * Where new work goes: a link to a pooler, none of those that failed it
   * before, or this instance itself.
   *
   * @param mayWait Whether a link that is being opened is worth waiting for.
   */
  selectLink(
    requirements: PoolerRequirements,
    excluded: ReadonlySet<PoolerLink>,
    mayWait: boolean,
  ): PoolerLink | 'here' | undefined {
    const isShared = requirements.user === SHARED_USER;
    if (isShared) this.use(requirements.service);
    let second: PoolerLink | undefined;
    for (const {address, instance} of this.rank(requirements)) {
      if (instance === this.here.instance) return second ?? 'here';
      if (!isShared) this.open(address);
      const link = this.links.get(address);
      if (!link || excluded.has(link)) continue;
      const {state} = link;
      if (state === 'ready') return link;
      if (state === 'recovering') second ??= link;
      const isAwaited = state === 'connecting' && !this.wasLost(address);
      if (!isShared && mayWait && isAwaited) return undefined;
    }
    return second;
  }

  /** Links that work may go to, in the order of preference. */
  readyLinks(wish: PoolerRequirements): PoolerLink[] {
    const links = this.rank(wish).map(({address}) => this.links.get(address));
    return links.filter(link => link?.state === 'ready') as PoolerLink[];
  }

  /** Whether a link is being opened that could serve soon. */
  isConnecting(wish: PoolerRequirements): boolean {
    return this.rank(wish).some(({address}) => {
      return this.links.get(address)?.state === 'connecting';
    });
  }

  /** Links are opened for the first caller of a service, and kept from then. */
  private use(service: string): void {
    if (this.used.has(service)) return;
    this.used.add(service);
    this.tend();
  }

  private rank(wish: PoolerRequirements): readonly PoolerEntry[] {
    const {service, user, needsPrimary} = wish;
    const isShared = user === SHARED_USER;
    const isPrimary = needsPrimary && !isShared;
    const region = isPrimary ? this.here.primaryRegionOf(service) : '';
    const key = `${user} ${region}`;
    const orders = this.ranked.get(service) ?? new Map<string, PoolerEntry[]>();
    const known = orders.get(key);
    if (known) return known;
    const choice = isShared ? this.nearest : this.byAccount;
    const ranked = choice.rank(this.poolers.get(service), wish);
    if (orders.size >= MOST_RANKS) orders.clear();
    this.ranked.set(service, orders.set(key, ranked));
    return ranked;
  }

  /** Whether a pooler was lost lately: waiting for it again costs too much. */
  private wasLost(address: string): boolean {
    const at = this.lostAt.get(address) ?? -Infinity;
    return this.clock.now() - at < LOST_MS;
  }

  /** Opens links where too few are usable, and closes those of no use. */
  private tend(): void {
    if (this.signal.aborted) return;
    const wanted = new Set<string>();
    for (const service of this.used) {
      if (this.own.has(service)) continue;
      const ranked = this.rank(sharedWish(service));
      for (const address of this.wantedOf(ranked)) wanted.add(address);
    }
    for (const address of wanted) this.open(address);
    for (const [address, link] of this.links) {
      const isNeeded = wanted.has(address) || link.pendingCount > 0;
      if (!isNeeded && !this.addresses.has(address)) link.close();
    }
  }

  /** The first ones in order, and one more for each that is of no use now. */
  private wantedOf(ranked: readonly PoolerEntry[]): string[] {
    const wanted: string[] = [];
    let usable = 0;
    for (const {address} of ranked) {
      if (usable >= KEPT_LINKS) break;
      wanted.push(address);
      const state = this.links.get(address)?.state;
      const isUseless = state !== undefined && USELESS.has(state);
      if (!isUseless && !this.paused.has(address)) usable++;
    }
    return wanted;
  }

  private open(address: string): void {
    if (this.links.has(address) || this.paused.has(address)) return;
    const onDidClose = () => {
      if (this.links.get(address) !== link) return;
      this.links.delete(address);
      this.paused.add(address);
      this.lostAt.set(address, this.clock.now());
      after(this.signal, RETRY_MS, () => {
        this.paused.delete(address);
        this.tend();
      });
      this.tend();
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

function sharedWish(service: string): PoolerRequirements {
  return {service, user: SHARED_USER, needsPrimary: false};
}

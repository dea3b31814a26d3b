import type {Clock} from '../../../base/common/clock';
import type {FleetPoolers} from '../../fleet_link/common/fleet_lists';
import type {Log} from '../../../base/node/log';
import {after, every} from '../../../base/node/timers';
import type {PoolerEntry} from '../../../schema/generated/fleet';
import {rankPoolers, type Whereabouts} from '../common/choose_pooler';
import {PoolerLink, type LinkState} from './pooler_link';

/**
 * Links that are kept to poolers of each service: the one in use, and one that
 * takes over without the time that a new link takes.
 */
const KEPT_LINKS = 2;
/** A pooler that could not be reached is tried again after this, in ms. */
const RETRY_MS = 300;
/** Links to poolers that fell silent are backed up within this, in ms. */
const TEND_MS = 250;

const USELESS: ReadonlySet<LinkState> = new Set([
  'silent',
  'recovering',
  'leaving',
]);

/** The poolers that this proxy sends work to, and its links to them. */
export class PoolerDirectory {
  private poolers: readonly PoolerEntry[] = [];
  private ranked = new Map<string, readonly PoolerEntry[]>();
  private readonly links = new Map<string, PoolerLink>();
  private readonly paused = new Set<string>();

  constructor(
    private readonly here: Whereabouts,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {
    every(signal, TEND_MS, () => this.tend());
  }

  setPoolers({poolers}: FleetPoolers): void {
    this.poolers = poolers;
    const services = new Set(poolers.map(({service}) => service));
    this.ranked = new Map(
      [...services].map(service => [
        service,
        rankPoolers(poolers, service, this.here),
      ]),
    );
    this.log.info('Learns of the poolers.', {
      services: services.size,
      poolers: poolers.length,
    });
    this.tend();
  }

  /** Links to poolers that answer at present. */
  get reached(): number {
    return [...this.links.values()].filter(link => link.state === 'ready')
      .length;
  }

  /** Services that this proxy keeps connections for. */
  get pooledHere(): string[] {
    const own = this.poolers.filter(other => {
      return other.instance === this.here.instance;
    });
    return own.map(({service}) => service);
  }

  /** A link for new work of a service, none of those that failed it before. */
  choose(
    service: string,
    passed: ReadonlySet<PoolerLink>,
  ): PoolerLink | undefined {
    let second: PoolerLink | undefined;
    for (const {address} of this.ranked.get(service) ?? []) {
      const link = this.links.get(address);
      if (!link || passed.has(link)) continue;
      if (link.state === 'ready') return link;
      if (link.state === 'recovering') second ??= link;
    }
    return second;
  }

  /** Whether a link is being opened that could serve soon. */
  isConnecting(service: string): boolean {
    return (this.ranked.get(service) ?? []).some(({address}) => {
      return this.links.get(address)?.state === 'connecting';
    });
  }

  /** Opens links where too few are usable, and closes those of no use. */
  private tend(): void {
    if (this.signal.aborted) return;
    const wanted = new Set<string>();
    const {pooledHere} = this;
    for (const [service, ranked] of this.ranked) {
      if (pooledHere.includes(service)) continue;
      for (const address of this.wantedOf(ranked)) wanted.add(address);
    }
    for (const address of wanted) this.open(address);
    for (const [address, link] of this.links) {
      const isNeeded = wanted.has(address) || link.underWay > 0;
      if (!isNeeded && !this.isListed(address)) link.close();
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

  private isListed(address: string): boolean {
    return this.poolers.some(other => other.address === address);
  }

  private open(address: string): void {
    if (this.links.has(address) || this.paused.has(address)) return;
    const onDidClose = () => {
      if (this.links.get(address) !== link) return;
      this.links.delete(address);
      this.paused.add(address);
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

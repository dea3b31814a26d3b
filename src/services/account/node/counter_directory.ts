import type {Log} from '../../../base/node/log';
import {after} from '../../../base/node/timers';
import type {CounterEntry} from '../../../schema/generated/fleet';
import {
  chooseCounter,
  rankCounters,
  type ProxyRegion,
  type CounterState,
  type CounterChoiceOptions,
} from '../common/counter_choice';
import type {PermitDecision} from '../common/permit_counting';
import {CounterLink} from './counter_link';
import type {LocalCounter} from './local_counter';

/** Where this proxy is. */
export interface LocalProxy extends ProxyRegion {
  readonly instance: string;
}

/** The counters that a proxy can ask. */
export interface CounterClient {
  /** Who is asked next about an account; undefined for nobody. */
  choose(
    account: string,
    wish: CounterChoiceOptions,
  ): CounterEntry | 'soon' | undefined;
  /** Asks one that was chosen; undefined where it does not answer in time. */
  requestPermits(
    counter: CounterEntry,
    account: string,
    wanted: number,
  ): Promise<PermitDecision | undefined>;
  /** Operations that a counter granted did not run. */
  returnPermits(instance: string, account: string, count: number): void;
}

/**
 * A counter of the region answers within some milliseconds unless it hangs, in
 * milliseconds; another one has to be asked in time.
 */
const NEAR_ANSWER_MS = 60;
/** The same with a way between regions and back. */
const FAR_ANSWER_MS = 150;
/** A counter that could not be reached is tried again after this, in ms. */
const RETRY_MS = 300;
/** Orders that are kept; some thousand accounts. */
const MOST_RANKS = 4_096;

/** The counters that this proxy asks, and its links to them. */
export class CounterDirectory implements CounterClient {
  private counters: readonly CounterEntry[] = [];
  private readonly ranked = new Map<string, CounterEntry[]>();
  private readonly links = new Map<string, CounterLink>();
  private readonly paused = new Set<string>();

  constructor(
    private readonly here: LocalProxy,
    private readonly local: LocalCounter,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {}

  setCounters(counters: readonly CounterEntry[]): void {
    if (counters.length + this.counters.length === 0) return;
    this.counters = counters;
    this.ranked.clear();
    const names = counters.map(({instance, retiring}) => {
      return retiring ? `${instance} (retiring)` : instance;
    });
    this.log.info('Learns of the counters.', {counters: names.join(' ')});
    const listed = new Set(counters.map(({address}) => address));
    for (const [address, link] of this.links) {
      if (!listed.has(address)) link.close();
    }
    this.tend();
  }

  choose(
    account: string,
    wish: CounterChoiceOptions,
  ): CounterEntry | 'soon' | undefined {
    return chooseCounter(
      this.rank(account),
      entry => this.stateOf(entry),
      wish,
    );
  }

  requestPermits(
    {instance, address, site}: CounterEntry,
    account: string,
    wanted: number,
  ): Promise<PermitDecision | undefined> {
    if (instance === this.here.instance) {
      return Promise.resolve(this.local.requestPermits(account, wanted));
    }
    const link = this.links.get(address);
    if (!link) return Promise.resolve(undefined);
    const timeMs = this.isNear(site) ? NEAR_ANSWER_MS : FAR_ANSWER_MS;
    return link.ask(account, wanted, timeMs);
  }

  returnPermits(instance: string, account: string, count: number): void {
    if (instance === this.here.instance) {
      return this.local.returnPermits(account, count);
    }
    const entry = this.counters.find(other => other.instance === instance);
    if (entry) this.links.get(entry.address)?.giveBack(account, count);
  }

  private isNear(site: string): boolean {
    const {here} = this;
    return here.regionOf(site) === here.regionOf(here.site);
  }

  private rank(account: string): readonly CounterEntry[] {
    const known = this.ranked.get(account);
    if (known) return known;
    const ranked = rankCounters(this.counters, account, this.here);
    if (this.ranked.size >= MOST_RANKS) this.ranked.clear();
    this.ranked.set(account, ranked);
    return ranked;
  }

  /** Opens a link where there is none: the counter is about to be asked. */
  private stateOf({instance, address}: CounterEntry): CounterState {
    if (instance === this.here.instance) return 'here';
    this.open(address);
    return this.links.get(address)?.state ?? 'closed';
  }

  /** Keeps links to the counters of the region. */
  private tend(): void {
    for (const {instance, address, site, retiring} of this.counters) {
      const isOwn = instance === this.here.instance;
      if (!isOwn && !retiring && this.isNear(site)) this.open(address);
    }
  }

  private open(address: string): void {
    if (this.signal.aborted) return;
    if (this.links.has(address) || this.paused.has(address)) return;
    const onDidClose = () => {
      this.links.delete(address);
      this.paused.add(address);
      after(this.signal, RETRY_MS, () => {
        this.paused.delete(address);
        this.tend();
      });
    };
    const link = new CounterLink(address, this.log, this.signal, onDidClose);
    this.links.set(address, link);
  }
}

import type {Clock} from '../../../base/common/clock';
import {hashText} from '../../../base/common/hash';
import {SeededRandom} from '../../../base/common/random';
import type {Log} from '../../../base/node/log';
import {after} from '../../../base/node/timers';
import type {CounterEntry} from '../../../schema/generated/fleet';
import {
  chooseCounter,
  rankCounters,
  type CounterChoiceOptions,
  type CounterState,
  type CounterWait,
  type ProxyRegion,
} from '../common/counter_choice';
import type {PermitDecision} from '../common/permit_counting';
import {RequestWindow} from '../common/request_window';
import {CounterLink, RequestTotals} from './counter_link';
import type {LocalCounter} from './local_counter';

/** This proxy and its place among sites and regions. */
export interface LocalProxy extends ProxyRegion {
  readonly instance: string;
}

/** Sends requests to the counters of accounts. */
export interface CounterClient {
  /**
   * Returns the counter to try next, what to wait for, or undefined where none
   * is available.
   */
  choose(
    account: string,
    options: CounterChoiceOptions,
  ): CounterEntry | CounterWait | undefined;
  /** Requests permits; undefined where no decision arrives in time. */
  requestPermits(
    counter: CounterEntry,
    account: string,
    wanted: number,
  ): Promise<PermitDecision | undefined>;
  /** Returns permits of operations that did not run to their counter. */
  returnPermits(instance: string, account: string, count: number): void;
  /** No counter could get a request for an operation in time. */
  onDidWithhold(): void;
}

/** Leaves time to try another counter. */
const REGION_ANSWER_TIMEOUT_MS = 60;
/** Includes a round trip between regions. */
const REMOTE_ANSWER_TIMEOUT_MS = 150;
const RECONNECT_DELAY_MS = 300;
/** Bounds the cached rankings, one for each account. */
const MAX_CACHED_RANKINGS = 4_096;

/** The current counters, and this proxy's links to them. */
export class CounterDirectory implements CounterClient {
  private counters: readonly CounterEntry[] = [];
  private readonly rankings = new Map<string, CounterEntry[]>();
  private readonly links = new Map<string, CounterLink>();
  /** Addresses that are not connected to again yet. */
  private readonly paused = new Set<string>();
  private readonly totals = new RequestTotals();
  private readonly random: SeededRandom;

  constructor(
    private readonly localProxy: LocalProxy,
    private readonly localCounter: LocalCounter,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {
    this.random = new SeededRandom(hashText(localProxy.instance));
  }

  setCounters(counters: readonly CounterEntry[]): void {
    if (counters.length + this.counters.length === 0) return;
    this.counters = counters;
    this.rankings.clear();
    const names = counters.map(({instance, retiring}) => {
      return retiring ? `${instance} (retiring)` : instance;
    });
    this.log.info('The counters changed.', {counters: names.join(' ')});
    const listed = new Set(counters.map(({address}) => address));
    for (const [address, link] of this.links) {
      if (!listed.has(address)) link.close();
    }
    this.openRegionLinks();
  }

  choose(
    account: string,
    options: CounterChoiceOptions,
  ): CounterEntry | CounterWait | undefined {
    return chooseCounter(
      this.rankingOf(account),
      entry => this.stateOf(entry),
      options,
    );
  }

  requestPermits(
    {instance, address}: CounterEntry,
    account: string,
    wanted: number,
  ): Promise<PermitDecision | undefined> {
    if (instance === this.localProxy.instance) {
      return Promise.resolve(this.localCounter.requestPermits(account, wanted));
    }
    const link = this.links.get(address);
    if (!link) return Promise.resolve(undefined);
    return link.requestPermits(account, wanted);
  }

  onDidWithhold(): void {
    this.totals.withheld++;
  }

  /** Returns its metrics in the Prometheus text format. */
  renderMetrics(): string {
    return this.totals.render();
  }

  returnPermits(instance: string, account: string, count: number): void {
    if (instance === this.localProxy.instance) {
      return this.localCounter.returnPermits(account, count);
    }
    const entry = this.counters.find(entry => entry.instance === instance);
    if (entry) this.links.get(entry.address)?.returnPermits(account, count);
  }

  private isInRegion(site: string): boolean {
    const {localProxy} = this;
    return localProxy.regionOf(site) === localProxy.regionOf(localProxy.site);
  }

  private rankingOf(account: string): readonly CounterEntry[] {
    const known = this.rankings.get(account);
    if (known) return known;
    const ranking = rankCounters(this.counters, account, this.localProxy);
    if (this.rankings.size >= MAX_CACHED_RANKINGS) this.rankings.clear();
    this.rankings.set(account, ranking);
    return ranking;
  }

  /** Also opens a missing link, as the counter is about to get a request. */
  private stateOf(entry: CounterEntry): CounterState {
    const {instance, address} = entry;
    if (instance === this.localProxy.instance) return 'local';
    this.open(entry);
    return this.links.get(address)?.state ?? 'closed';
  }

  /** Keeps links to the counters of the region open. */
  private openRegionLinks(): void {
    for (const entry of this.counters) {
      const {instance, site, retiring} = entry;
      const isOwn = instance === this.localProxy.instance;
      if (!isOwn && !retiring && this.isInRegion(site)) this.open(entry);
    }
  }

  private open({address, site}: CounterEntry): void {
    if (this.signal.aborted) return;
    if (this.links.has(address) || this.paused.has(address)) return;
    const onDidClose = () => {
      this.links.delete(address);
      this.paused.add(address);
      after(this.signal, RECONNECT_DELAY_MS, () => {
        this.paused.delete(address);
        this.openRegionLinks();
      });
    };
    const timeoutMs = this.isInRegion(site)
      ? REGION_ANSWER_TIMEOUT_MS
      : REMOTE_ANSWER_TIMEOUT_MS;
    const {clock, log, totals} = this;
    const window = new RequestWindow(timeoutMs, this.random);
    const link = new CounterLink(
      {address, timeoutMs, window, totals, clock, log, onDidClose},
      this.signal,
    );
    this.links.set(address, link);
  }
}

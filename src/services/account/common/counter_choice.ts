import {hashText} from '../../../base/common/hash';
import type {CounterEntry} from '../../../schema/generated/fleet';

/** The site of a proxy, by which it finds the counters of its region. */
export interface ProxyRegion {
  readonly site: string;
  regionOf(site: string): string;
}

/** Whether a counter can get requests for permits. */
export type CounterState =
  /** The counter is in this process. */
  | 'local'
  | 'ready'
  /** The link to it is being opened. */
  | 'connecting'
  /** As many requests are pending as it answers in time. */
  | 'busy'
  | 'closed';

/**
 * Orders counters as a proxy tries them for an account. Rendezvous hashing
 * makes all proxies of a region try the same one first. Counters of other
 * regions follow, and retiring ones, which may still hold shares, are last.
 */
export function rankCounters(
  counters: readonly CounterEntry[],
  account: string,
  {site, regionOf}: ProxyRegion,
): CounterEntry[] {
  const ownRegion = regionOf(site);
  const ranked = counters.map(entry => ({
    entry,
    group: groupOf(entry, ownRegion, regionOf),
    hash: hashText(`${account} ${entry.instance}`),
  }));
  ranked.sort((a, b) => a.group - b.group || a.hash - b.hash);
  return ranked.map(({entry}) => entry);
}

/** How a counter is chosen for one request. */
export interface CounterChoiceOptions {
  /** Instances that were tried already. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the request can wait for a link that is being opened. */
  readonly canWaitForLink: boolean;
}

/** What is known of the next counter where none can get a request now. */
export type CounterWait =
  /** Wait for the link to it. */
  | 'connecting'
  /** At least one can get requests once it answered others. */
  | 'busy';

/**
 * Returns the counter to try next, what to wait for, or undefined where none is
 * available. Reads no more states than needed, because reading a state opens a
 * link.
 */
export function chooseCounter(
  ranked: readonly CounterEntry[],
  stateOf: (entry: CounterEntry) => CounterState,
  {excluded, canWaitForLink}: CounterChoiceOptions,
): CounterEntry | CounterWait | undefined {
  let isAnyBusy = false;
  for (const entry of ranked) {
    if (excluded.has(entry.instance)) continue;
    const state = stateOf(entry);
    if (state === 'local' || state === 'ready') return entry;
    if (state === 'connecting' && canWaitForLink) return 'connecting';
    isAnyBusy ||= state === 'busy';
  }
  return isAnyBusy ? 'busy' : undefined;
}

function groupOf(
  {site, retiring}: CounterEntry,
  ownRegion: string,
  regionOf: (site: string) => string,
): number {
  if (retiring) return 2;
  return regionOf(site) === ownRegion ? 0 : 1;
}

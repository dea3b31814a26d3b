import {hashOf} from '../../../base/common/hash';
import type {CounterEntry} from '../../../schema/generated/fleet';

/** Where a proxy is, to find the counters near it. */
export interface ProxyRegion {
  readonly site: string;
  regionOf(site: string): string;
}

/** What a proxy knows of a counter. */
export type CounterState =
  /** It is this proxy. */
  | 'here'
  | 'ready'
  /** A link to it is being opened. */
  | 'connecting'
  /** It did not answer a question in time, and nothing was heard since. */
  | 'silent'
  | 'closed';

/**
 * The order in which a proxy asks counters about an account: those of its
 * region by rendezvous hashing, so that all its proxies ask the same one first,
 * then others. One that is retiring may still have something to give and comes
 * last.
 */
export function rankCounters(
  counters: readonly CounterEntry[],
  account: string,
  {site, regionOf}: ProxyRegion,
): CounterEntry[] {
  const own = regionOf(site);
  const ranked = counters.map(entry => ({
    entry,
    group: groupOf(entry, own, regionOf),
    hash: hashOf(`${account} ${entry.instance}`),
  }));
  ranked.sort((a, b) => a.group - b.group || a.hash - b.hash);
  return ranked.map(({entry}) => entry);
}

/** What is asked for when a counter is chosen. */
export interface CounterChoiceOptions {
  /** Those that gave no decision. */
  readonly excluded: ReadonlySet<string>;
  /** Whether a link that is being opened is worth waiting for. */
  readonly canWaitForLink: boolean;
}

/**
 * The counter that is asked next; 'soon' where a link to it is being opened,
 * and undefined where none can be asked. Looks at states in order and no
 * further than it has to: a look opens a link.
 */
export function chooseCounter(
  ranked: readonly CounterEntry[],
  stateOf: (entry: CounterEntry) => CounterState,
  {excluded: passed, canWaitForLink: mayWait}: CounterChoiceOptions,
): CounterEntry | 'soon' | undefined {
  for (const entry of ranked) {
    if (passed.has(entry.instance)) continue;
    const state = stateOf(entry);
    if (state === 'here' || state === 'ready') return entry;
    if (state === 'connecting' && mayWait) return 'soon';
  }
  return undefined;
}

function groupOf(
  {site, retiring}: CounterEntry,
  own: string,
  regionOf: (site: string) => string,
): number {
  if (retiring) return 2;
  return regionOf(site) === own ? 0 : 1;
}

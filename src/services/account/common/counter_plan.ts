import {hashOf} from '../../../base/common/hash';
import type {CounterEntry} from '../../../schema/generated/fleet';

/** A proxy that can count operations of accounts. */
export interface CounterCandidate {
  readonly instance: string;
  readonly site: string;
  /** Where other proxies reach it. */
  readonly address: string;
}

/** What counters are named for. */
export interface CounterRequirements {
  /** Whether any account has a limit. */
  readonly hasLimits: boolean;
  regionOf(site: string): string;
  /** Whether a counter that is retiring can hold no share any more. */
  canRemove(instance: string): boolean;
}

/** What becomes of one counter, and why. */
export interface CounterChange {
  readonly instance: string;
  readonly kind: 'named' | 'moved' | 'retiring' | 'removed';
  readonly reason: string;
}

/** The counters from now on, and what changed. */
export interface CounterPlan {
  readonly counters: CounterEntry[];
  readonly changes: readonly CounterChange[];
}

/** One is asked first, the other takes over where the first is lost. */
const COUNTERS_A_REGION = 2;
/**
 * A leader names counters once its proxies had time to come, in milliseconds:
 * the first few may all be of one site.
 */
const SETTLE_MS = 1_000;
/**
 * A counter without a stream to control keeps its part for so long, in ms:
 * after a change of leader proxies take up to 2 s to come back.
 */
const GRACE_MS = 3_000;

/** Names counters during one leadership of control. */
export class CounterPlanner {
  /** Counters without a stream to control, and since when. */
  private readonly missingSince = new Map<string, number>();

  constructor(private readonly startedAt: number) {}

  /** The counters from now on; undefined where those in place stay. */
  plan(
    need: CounterRequirements,
    attached: readonly CounterCandidate[],
    inPlace: readonly CounterEntry[],
    now: number,
  ): CounterPlan | undefined {
    if (!need.hasLimits && inPlace.length === 0) return undefined;
    this.noteMissing(attached, inPlace, now);
    if (now - this.startedAt < SETTLE_MS) return undefined;
    const draft = new Draft(need, attached);
    for (const entry of inPlace) {
      const since = this.missingSince.get(entry.instance) ?? Infinity;
      draft.keep(entry, now - since >= GRACE_MS);
    }
    if (need.hasLimits) draft.fill();
    const {counters, changes} = draft;
    return changes.length > 0 ? {counters, changes} : undefined;
  }

  private noteMissing(
    attached: readonly CounterCandidate[],
    inPlace: readonly CounterEntry[],
    now: number,
  ): void {
    const present = new Set(attached.map(({instance}) => instance));
    const named = new Set(inPlace.map(({instance}) => instance));
    for (const instance of this.missingSince.keys()) {
      const isMissing = named.has(instance) && !present.has(instance);
      if (!isMissing) this.missingSince.delete(instance);
    }
    for (const instance of named) {
      if (present.has(instance) || this.missingSince.has(instance)) continue;
      this.missingSince.set(instance, now);
    }
  }
}

/** A plan while it is made. */
class Draft {
  readonly counters: CounterEntry[] = [];
  readonly changes: CounterChange[] = [];
  private readonly candidates: ReadonlyMap<string, CounterCandidate>;

  constructor(
    private readonly need: CounterRequirements,
    attached: readonly CounterCandidate[],
  ) {
    this.candidates = new Map(attached.map(one => [one.instance, one]));
  }

  /** Takes over one in place, in the state that it has from now on. */
  keep(entry: CounterEntry, isGone: boolean): void {
    if (entry.retiring) return this.keepRetiring(entry);
    const reason = this.reasonToRetire(entry, isGone);
    if (reason !== undefined) {
      this.counters.push({...entry, retiring: true});
      return this.note(entry, 'retiring', reason);
    }
    const {address, site} = this.candidates.get(entry.instance) ?? entry;
    this.counters.push({...entry, address, site});
    const isSame = address === entry.address && site === entry.site;
    if (!isSame) this.note(entry, 'moved', 'it came back at another place');
  }

  /** Names counters where regions have too few. */
  fill(): void {
    const sites = [...this.candidates.values()].map(({site}) => site);
    const regions = new Set(sites.map(site => this.need.regionOf(site)));
    for (const region of regions) {
      for (;;) {
        const {length} = this.activeIn(region);
        const next = length < COUNTERS_A_REGION && this.next(region);
        if (!next) break;
        const {instance, address, site} = next;
        this.counters.push({instance, address, site, retiring: false});
        this.note(next, 'named', `${region} has ${length} others`);
      }
    }
  }

  private keepRetiring(entry: CounterEntry): void {
    if (!this.need.canRemove(entry.instance)) {
      this.counters.push(entry);
    } else {
      this.note(entry, 'removed', 'it can hold no share any more');
    }
  }

  private reasonToRetire(
    {site}: CounterEntry,
    isGone: boolean,
  ): string | undefined {
    if (!this.need.hasLimits) return 'no account has a limit';
    if (isGone) return 'it is gone';
    const region = this.need.regionOf(site);
    const isSurplus = this.activeIn(region).length >= COUNTERS_A_REGION;
    return isSurplus ? `${region} has enough` : undefined;
  }

  private activeIn(region: string): CounterEntry[] {
    return this.counters.filter(({site, retiring}) => {
      return !retiring && this.need.regionOf(site) === region;
    });
  }

  /** A proxy of the site with the fewest counters. */
  private next(region: string): CounterCandidate | undefined {
    const active = this.activeIn(region);
    const named = new Set(this.counters.map(({instance}) => instance));
    const ranked = [...this.candidates.values()]
      .filter(({instance, site}) => {
        return !named.has(instance) && this.need.regionOf(site) === region;
      })
      .map(candidate => {
        const inSite = active.filter(({site}) => site === candidate.site);
        const hash = hashOf(candidate.instance);
        return {candidate, inSite: inSite.length, hash};
      });
    ranked.sort((a, b) => a.inSite - b.inSite || a.hash - b.hash);
    return ranked[0]?.candidate;
  }

  private note(
    {instance}: {readonly instance: string},
    kind: CounterChange['kind'],
    reason: string,
  ): void {
    this.changes.push({instance, kind, reason});
  }
}

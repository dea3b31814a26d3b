import {hashText} from '../../../base/common/hash';
import type {CounterEntry} from '../../../schema/generated/fleet';

/** A proxy that can count operations of accounts. */
export interface CounterCandidate {
  readonly instance: string;
  readonly site: string;
  /** Where other proxies connect to it. */
  readonly address: string;
}

/** What a plan of counters depends on. */
export interface CounterRequirements {
  /** Whether any account has a limit. */
  readonly hasLimits: boolean;
  regionOf(site: string): string;
  /** Whether a retiring counter holds no share any more. */
  canRemove(instance: string): boolean;
}

/** A change of one counter, for the log. */
export interface CounterChange {
  readonly instance: string;
  readonly kind: 'named' | 'moved' | 'retiring' | 'removed';
  readonly reason: string;
}

/** A new list of counters, and how it differs from the current one. */
export interface CounterPlan {
  readonly counters: CounterEntry[];
  readonly changes: readonly CounterChange[];
}

/** The second one takes over when the first is lost. */
const COUNTERS_PER_REGION = 2;
/** The first proxies that attach to a new leader may all be of one site. */
const ATTACH_DELAY_MS = 1_000;
/** Longer than proxies take to attach to a new leader. */
const DETACHED_GRACE_MS = 3_000;

/** Assigns counters to all regions, in one term of a control leader. */
export class CounterPlanner {
  /** When counters were first seen detached from control, by instance. */
  private readonly detachedAt = new Map<string, number>();

  constructor(private readonly startedAt: number) {}

  /** Returns a new list; undefined where the current one stays. */
  plan(
    needs: CounterRequirements,
    attached: readonly CounterCandidate[],
    current: readonly CounterEntry[],
    now: number,
  ): CounterPlan | undefined {
    if (!needs.hasLimits && current.length === 0) return undefined;
    this.updateDetached(attached, current, now);
    if (now - this.startedAt < ATTACH_DELAY_MS) return undefined;
    const draft = new PlanDraft(needs, attached);
    for (const entry of current) {
      const detachedAt = this.detachedAt.get(entry.instance) ?? Infinity;
      draft.addCurrent(entry, now - detachedAt >= DETACHED_GRACE_MS);
    }
    if (needs.hasLimits) draft.addMissing();
    const {counters, changes} = draft;
    return changes.length > 0 ? {counters, changes} : undefined;
  }

  private updateDetached(
    attached: readonly CounterCandidate[],
    current: readonly CounterEntry[],
    now: number,
  ): void {
    const present = new Set(attached.map(({instance}) => instance));
    const listed = new Set(current.map(({instance}) => instance));
    for (const instance of this.detachedAt.keys()) {
      const isDetached = listed.has(instance) && !present.has(instance);
      if (!isDetached) this.detachedAt.delete(instance);
    }
    for (const instance of listed) {
      if (present.has(instance) || this.detachedAt.has(instance)) continue;
      this.detachedAt.set(instance, now);
    }
  }
}

class PlanDraft {
  readonly counters: CounterEntry[] = [];
  readonly changes: CounterChange[] = [];
  private readonly candidates: ReadonlyMap<string, CounterCandidate>;

  constructor(
    private readonly needs: CounterRequirements,
    attached: readonly CounterCandidate[],
  ) {
    this.candidates = new Map(
      attached.map(candidate => [candidate.instance, candidate]),
    );
  }

  /** Keeps, moves, retires or removes a counter of the current list. */
  addCurrent(entry: CounterEntry, isLost: boolean): void {
    if (entry.retiring) return this.addRetiring(entry);
    const reason = this.retirementReason(entry, isLost);
    if (reason !== undefined) {
      this.counters.push({...entry, retiring: true});
      return this.addChange(entry, 'retiring', reason);
    }
    const {address, site} = this.candidates.get(entry.instance) ?? entry;
    this.counters.push({...entry, address, site});
    const isSame = address === entry.address && site === entry.site;
    if (!isSame) this.addChange(entry, 'moved', 'its address or site changed');
  }

  /** Assigns counters to regions that have too few. */
  addMissing(): void {
    const sites = [...this.candidates.values()].map(({site}) => site);
    const regions = new Set(sites.map(site => this.needs.regionOf(site)));
    for (const region of regions) {
      for (;;) {
        const {length} = this.activeIn(region);
        const next = length < COUNTERS_PER_REGION && this.nextIn(region);
        if (!next) break;
        const {instance, address, site} = next;
        this.counters.push({instance, address, site, retiring: false});
        this.addChange(next, 'named', `${region} has ${length} counters`);
      }
    }
  }

  private addRetiring(entry: CounterEntry): void {
    if (!this.needs.canRemove(entry.instance)) {
      this.counters.push(entry);
    } else {
      this.addChange(entry, 'removed', 'it holds no share any more');
    }
  }

  private retirementReason(
    {site}: CounterEntry,
    isLost: boolean,
  ): string | undefined {
    if (!this.needs.hasLimits) return 'no account has a limit';
    if (isLost) return 'its connection to control is lost';
    const region = this.needs.regionOf(site);
    const isSurplus = this.activeIn(region).length >= COUNTERS_PER_REGION;
    return isSurplus ? `${region} has enough counters` : undefined;
  }

  private activeIn(region: string): CounterEntry[] {
    return this.counters.filter(({site, retiring}) => {
      return !retiring && this.needs.regionOf(site) === region;
    });
  }

  /** Returns a proxy of the site that has the fewest counters. */
  private nextIn(region: string): CounterCandidate | undefined {
    const active = this.activeIn(region);
    const listed = new Set(this.counters.map(({instance}) => instance));
    const ranked = [...this.candidates.values()]
      .filter(({instance, site}) => {
        return !listed.has(instance) && this.needs.regionOf(site) === region;
      })
      .map(candidate => {
        const inSite = active.filter(({site}) => site === candidate.site);
        const hash = hashText(candidate.instance);
        return {candidate, counterCount: inSite.length, hash};
      });
    ranked.sort((a, b) => a.counterCount - b.counterCount || a.hash - b.hash);
    return ranked[0]?.candidate;
  }

  private addChange(
    {instance}: {readonly instance: string},
    kind: CounterChange['kind'],
    reason: string,
  ): void {
    this.changes.push({instance, kind, reason});
  }
}

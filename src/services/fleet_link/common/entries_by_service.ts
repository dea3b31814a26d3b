import type {EntryComparer} from './revisioned_list';

/** A list of entries, grouped by service. */
export class EntriesByService<T extends {readonly service: string}> {
  private groups: ReadonlyMap<string, readonly T[]> = new Map();

  constructor(private readonly comparer: EntryComparer<T>) {}

  /** Replaces the list and returns the services whose entries changed. */
  update(entries: readonly T[]): ReadonlySet<string> {
    const previous = this.groups;
    this.groups = groupByService(entries);
    const changed = new Set<string>();
    for (const [service, group] of this.groups) {
      if (!this.isEqual(previous.get(service), group)) changed.add(service);
    }
    for (const service of previous.keys()) {
      if (!this.groups.has(service)) changed.add(service);
    }
    return changed;
  }

  /** The entries of a service, in list order. */
  get(service: string): readonly T[] {
    return this.groups.get(service) ?? [];
  }

  /** Services with at least one entry. */
  get services(): readonly string[] {
    return [...this.groups.keys()];
  }

  private isEqual(a: readonly T[] | undefined, b: readonly T[]): boolean {
    if (a?.length !== b.length) return false;
    return a.every((entry, index) => {
      const other = b[index]!;
      return entry === other || this.comparer.isEqual(entry, other);
    });
  }
}

function groupByService<T extends {readonly service: string}>(
  entries: readonly T[],
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const entry of entries) {
    const group = groups.get(entry.service);
    if (group) group.push(entry);
    else groups.set(entry.service, [entry]);
  }
  return groups;
}

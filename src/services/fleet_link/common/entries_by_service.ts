import type {EntryComparer} from './revisioned_list';

/** The entries of a list by their services. */
export class EntriesByService<T extends {readonly service: string}> {
  private groups: ReadonlyMap<string, readonly T[]> = new Map();

  constructor(private readonly kind: EntryComparer<T>) {}

  /** Takes the list as it is now; the services whose entries have changed. */
  update(entries: readonly T[]): ReadonlySet<string> {
    const before = this.groups;
    this.groups = groupByService(entries);
    const changed = new Set<string>();
    for (const [service, group] of this.groups) {
      if (!this.isSame(before.get(service), group)) changed.add(service);
    }
    for (const service of before.keys()) {
      if (!this.groups.has(service)) changed.add(service);
    }
    return changed;
  }

  /** The entries of a service, in the order of the list. */
  get(service: string): readonly T[] {
    return this.groups.get(service) ?? [];
  }

  /** The services that have entries. */
  get services(): readonly string[] {
    return [...this.groups.keys()];
  }

  private isSame(a: readonly T[] | undefined, b: readonly T[]): boolean {
    if (a?.length !== b.length) return false;
    return a.every((entry, at) => {
      const other = b[at]!;
      return entry === other || this.kind.isEqual(entry, other);
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

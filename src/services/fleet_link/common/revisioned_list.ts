/** What turns one list of named entries into another. */
export interface ListDelta<T> {
  /** The whole list; what is not in it is gone. */
  readonly complete: boolean;
  /** Entries that are new or have other content. */
  readonly changed: readonly T[];
  /** Names of entries that are gone. */
  readonly gone: readonly string[];
}

/** How the entries of a list are told apart. */
export interface EntryComparer<T> {
  keyOf(entry: T): string;
  isEqual(a: T, b: T): boolean;
}

interface Known<T> {
  readonly entry: T;
  readonly changedAt: number;
}

/** Names of entries that are gone; whoever missed more gets the whole list. */
const MOST_GONE = 1_024;

/**
 * A list that changes, and what each reader of it has not heard of yet.
 *
 * Guard: told whole at each change, a list costs its length times its readers.
 * While proxies were restarted one after the other, each one's coming and going
 * sent all others a list of some hundred members, with their count. Links fill
 * up by that, are taken for lost, and each new one begins with the whole list.
 */
export class RevisionedList<T> {
  private readonly known = new Map<string, Known<T>>();
  /** When entries went, by their names; oldest first. */
  private readonly gone = new Map<string, number>();
  private currentRevision = 1;
  /** Deltas can be made for readers that heard of this revision or a later one. */
  private firstRevision = 1;

  constructor(private readonly kind: EntryComparer<T>) {}

  /** Increases with each change; a reader that heard of nothing has 0. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Takes the list as it is now. */
  update(entries: readonly T[]): void {
    const next = this.currentRevision + 1;
    const names = new Set<string>();
    for (const entry of entries) {
      const name = this.kind.keyOf(entry);
      names.add(name);
      const before = this.known.get(name)?.entry;
      if (before !== undefined && this.kind.isEqual(before, entry)) continue;
      this.known.set(name, {entry, changedAt: next});
      this.gone.delete(name);
      this.currentRevision = next;
    }
    for (const name of this.known.keys()) {
      if (!names.has(name)) this.remove(name, next);
    }
  }

  /** What a reader has not heard of that heard of a revision. */
  deltaSince(revision: number): ListDelta<T> {
    const complete = revision < this.firstRevision;
    const changed = [...this.known.values()]
      .filter(({changedAt}) => complete || changedAt > revision)
      .map(({entry}) => entry);
    const gone = complete
      ? []
      : [...this.gone].filter(([, at]) => at > revision);
    return {complete, changed, gone: gone.map(([name]) => name)};
  }

  private remove(name: string, revision: number): void {
    this.known.delete(name);
    this.gone.delete(name);
    this.gone.set(name, revision);
    this.currentRevision = revision;
    if (this.gone.size <= MOST_GONE) return;
    const [oldest, at] = [...this.gone][0]!;
    this.gone.delete(oldest);
    this.firstRevision = at;
  }
}

/** The list that a delta makes of its base. */
export function applyListDelta<T>(
  base: readonly T[],
  {complete, changed, gone}: ListDelta<T>,
  keyOf: (entry: T) => string,
): T[] {
  if (complete) return [...changed];
  const entries = new Map(base.map(entry => [keyOf(entry), entry]));
  for (const name of gone) entries.delete(name);
  for (const entry of changed) entries.set(keyOf(entry), entry);
  return [...entries.values()];
}

/** The difference between two versions of a list. */
export interface ListDelta<T> {
  /**
   * Whether `changed` is the whole list; entries that are not in it are gone.
   */
  readonly complete: boolean;
  /** New and modified entries. */
  readonly changed: readonly T[];
  /** Keys of removed entries. */
  readonly gone: readonly string[];
}

/** Identifies and compares the entries of a list. */
export interface EntryComparer<T> {
  keyOf(entry: T): string;
  isEqual(a: T, b: T): boolean;
}

interface RevisionedEntry<T> {
  readonly entry: T;
  readonly changedRevision: number;
}

/**
 * Keys of removed entries that are kept; a reader that missed more gets the
 * whole list.
 */
const MAX_REMOVED_KEYS = 1_024;

/**
 * A list with revisions, from which readers get the changes since the revision
 * they have.
 *
 * Guard: sending the whole list for each change costs its length times the
 * number of readers. During a rolling restart this saturates the links, which
 * are then taken for lost and reopened with yet another whole list.
 */
export class RevisionedList<T> {
  private readonly entries = new Map<string, RevisionedEntry<T>>();
  /** Revisions of removals by key, oldest first. */
  private readonly removedKeys = new Map<string, number>();
  private currentRevision = 1;
  /** Readers at an older revision get the whole list. */
  private oldestRevision = 1;

  constructor(private readonly comparer: EntryComparer<T>) {}

  /** Increases with each change. A reader without the list is at 0. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Replaces the list. */
  update(entries: readonly T[]): void {
    const nextRevision = this.currentRevision + 1;
    const keys = new Set<string>();
    for (const entry of entries) {
      const key = this.comparer.keyOf(entry);
      keys.add(key);
      const known = this.entries.get(key)?.entry;
      if (known !== undefined && this.comparer.isEqual(known, entry)) continue;
      this.entries.set(key, {entry, changedRevision: nextRevision});
      this.removedKeys.delete(key);
      this.currentRevision = nextRevision;
    }
    for (const key of this.entries.keys()) {
      if (!keys.has(key)) this.remove(key, nextRevision);
    }
  }

  /** The changes since a revision. */
  deltaSince(revision: number): ListDelta<T> {
    const complete = revision < this.oldestRevision;
    const changed = [...this.entries.values()]
      .filter(({changedRevision}) => complete || changedRevision > revision)
      .map(({entry}) => entry);
    const gone = complete
      ? []
      : [...this.removedKeys].filter(
          ([, removedRevision]) => removedRevision > revision,
        );
    return {complete, changed, gone: gone.map(([key]) => key)};
  }

  private remove(key: string, revision: number): void {
    this.entries.delete(key);
    this.removedKeys.delete(key);
    this.removedKeys.set(key, revision);
    this.currentRevision = revision;
    if (this.removedKeys.size <= MAX_REMOVED_KEYS) return;
    const [oldest, removedRevision] = [...this.removedKeys][0]!;
    this.removedKeys.delete(oldest);
    this.oldestRevision = removedRevision;
  }
}

/** Applies a delta to the list that it is based on. */
export function applyListDelta<T>(
  base: readonly T[],
  {complete, changed, gone}: ListDelta<T>,
  keyOf: (entry: T) => string,
): T[] {
  if (complete) return [...changed];
  const entries = new Map(base.map(entry => [keyOf(entry), entry]));
  for (const key of gone) entries.delete(key);
  for (const entry of changed) entries.set(keyOf(entry), entry);
  return [...entries.values()];
}

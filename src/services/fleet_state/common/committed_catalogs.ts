import type {PublishCatalog} from '../../../schema/generated/fleet';

/** The outcome of a catalog in the log. */
export type PublishOutcome =
  | 'in force'
  /** The same version with the same content was applied before. */
  | 'unchanged'
  /** A higher version was applied before. */
  | 'superseded'
  /** The same version with other content was applied before. */
  | 'conflict';

/** Whether this build can read a committed catalog. */
export type ReadabilityCheck = (catalog: PublishCatalog) => boolean;

const NO_CATALOG: PublishCatalog = {version: 0, source: Buffer.alloc(0)};
/** Bounds the catalogs that are kept until one of them is read. */
const MAX_CANDIDATES = 16;

/**
 * The committed catalogs, of which the newest readable one is in force.
 *
 * Guard: an earlier version of the program may have committed a catalog that
 * cannot be read. It is skipped, as it would end each leader that uses it.
 */
export class CommittedCatalogs {
  /** By increasing version; only the first one was checked. */
  private candidates: PublishCatalog[] = [];
  private isNewestReadable = true;

  constructor(private readonly isReadable: ReadabilityCheck) {}

  /** Of version 0 before the first catalog. */
  get inForce(): PublishCatalog {
    while (!this.isNewestReadable) {
      const newest = this.candidates.at(-1);
      this.isNewestReadable = newest === undefined || this.isReadable(newest);
      if (!this.isNewestReadable) this.candidates.pop();
    }
    if (this.candidates.length > 1) this.candidates = this.candidates.slice(-1);
    return this.candidates[0] ?? NO_CATALOG;
  }

  publish(entry: PublishCatalog): PublishOutcome {
    const newestVersion = this.candidates.at(-1)?.version ?? 0;
    // Catalogs are read late: most are replaced before anybody needs them.
    if (entry.version > newestVersion) return this.add(entry);
    const {version, source} = this.inForce;
    if (entry.version > version) return this.add(entry);
    if (entry.version < version) return 'superseded';
    return entry.source.equals(source) ? 'unchanged' : 'conflict';
  }

  restore(catalog: PublishCatalog): void {
    this.candidates = catalog.version === 0 ? [] : [catalog];
    this.isNewestReadable = false;
  }

  private add(entry: PublishCatalog): PublishOutcome {
    if (this.candidates.length >= MAX_CANDIDATES) void this.inForce;
    this.candidates.push(entry);
    this.isNewestReadable = false;
    return 'in force';
  }
}

import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {toError} from '../../../base/common/errors';
import {err, ok, type Result} from '../../../base/common/result';
import type {Log} from '../../../base/node/log';
import type {Catalog, PublishCatalog} from '../../../schema/generated/fleet';
import type {CatalogError, CatalogReader} from '../../catalog/common/catalog';

/** Compresses the source of a catalog for the control log. */
export function compressSource(text: string): Buffer {
  return deflateRawSync(Buffer.from(text));
}

/** The source of a catalog from the control log. */
export function decompressSource(source: Buffer): string {
  return inflateRawSync(source).toString();
}

/** Reads committed catalogs and keeps the one that was read last. */
export class CommittedCatalogReader {
  private newest: {entry: PublishCatalog; catalog: Catalog} | undefined;
  private skipped = 0;

  constructor(
    private readonly reader: CatalogReader,
    private readonly log: Log,
  ) {}

  /** How many committed catalogs could not be read since the start. */
  get skippedCount(): number {
    return this.skipped;
  }

  /** Whether a committed catalog can be used; logs it otherwise. */
  readonly isReadable = (entry: PublishCatalog): boolean => {
    const read = this.read(entry);
    if (read.isOk) {
      this.newest = {entry, catalog: read.value};
      return true;
    }
    this.skipped++;
    const {version} = entry;
    const {reason} = read.error;
    const message = 'Skipped a committed catalog that cannot be read.';
    this.log.error(message, {version, reason});
    return false;
  };

  /** The catalog of an entry; undefined if it cannot be read. */
  catalogOf(entry: PublishCatalog): Catalog | undefined {
    const isKnown = this.newest?.entry === entry;
    if (!isKnown && !this.isReadable(entry)) return undefined;
    return this.newest?.catalog;
  }

  /**
   * Guard: what throws here would throw in each control leader, since all have
   * the same log.
   */
  private read({
    version,
    source,
  }: PublishCatalog): Result<Catalog, CatalogError> {
    try {
      const read = this.reader.read(decompressSource(source));
      if (read.isErr) return err(read.error);
      const {catalog} = read.value;
      if (catalog.version === version) return ok(catalog);
      return err({reason: `the source has version ${catalog.version}`});
    } catch (thrown) {
      return err({reason: toError(thrown).message});
    }
  }
}

/** Renders how many committed entries were skipped since the start. */
export function renderSkippedEntries(
  counts: Readonly<{catalogs: number; commands: number}>,
): string {
  return Object.entries(counts)
    .map(([kind, count]) => {
      const name = `bulrushstage_control_skipped_${kind}`;
      return `# TYPE ${name} gauge\n${name} ${count}\n`;
    })
    .join('');
}

import {beforeEach, describe, expect, it} from 'vitest';
import {err, ok} from '../../../../base/common/result';
import type {CatalogReader} from '../../../catalog/common/catalog';
import {
  makeCatalog,
  makeLog,
  makeRoute,
} from '../../../gateway/test/node/session_fixture';
import {
  CommittedCatalogReader,
  compressSource,
} from '../../node/catalog_source';

/** Sources are versions; other texts are refused, and one throws. */
const READER: CatalogReader = {
  read: source => {
    if (source === 'throws') throw new RangeError('too deep');
    const version = Number(source);
    if (!(version > 0)) return err({reason: 'no version'});
    const catalog = makeCatalog([makeRoute()], {version});
    return ok({catalog, canonicalText: source});
  },
};

let logged: ReturnType<typeof makeLog>;
let catalogs: CommittedCatalogReader;

beforeEach(() => {
  logged = makeLog();
  catalogs = new CommittedCatalogReader(READER, logged.log);
});

const entryOf = (version: number, text: string) => {
  return {version, source: compressSource(text)};
};

describe('a committed catalog', () => {
  it('is read once', () => {
    const entry = entryOf(3, '3');
    expect(catalogs.isReadable(entry)).toBe(true);
    const catalog = catalogs.catalogOf(entry);
    expect(catalog?.version).toBe(3);
    expect(catalogs.catalogOf(entry)).toBe(catalog);
  });

  // Guards against a leader that ends on what all instances have in their log.
  it.each([
    ['is refused by the reader', entryOf(2, 'x'), 'no version'],
    ['makes the reader throw', entryOf(2, 'throws'), 'too deep'],
    ['has another version', entryOf(2, '3'), 'the source has version 3'],
    ['is not compressed', {version: 2, source: Buffer.from('x')}, ''],
  ])('is skipped and logged if it %s', (...[, entry, reason]) => {
    expect(catalogs.isReadable(entry)).toBe(false);
    expect(catalogs.catalogOf(entry)).toBeUndefined();
    expect(catalogs.skippedCount).toBe(2);
    const [line] = logged.lines;
    expect(JSON.stringify(line)).toMatch(
      /Skipped a committed catalog that cannot be read/,
    );
    expect(JSON.stringify(line)).toContain(reason);
  });
});

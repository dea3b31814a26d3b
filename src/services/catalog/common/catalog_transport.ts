import {toError} from '../../../base/common/errors';
import {Catalog} from '../../../schema/generated/fleet';
import {makeCatalogDelta} from './catalog_delta';

/**
 * Largest size of an encoded catalog and of its compressed source, in bytes.
 * Links between instances carry it beside other messages.
 */
export const MAX_CATALOG_BYTES = 2 * 1024 * 1024;

/**
 * Why proxies would not receive a catalog as it is; undefined if they would.
 *
 * Guard: a value that cannot be sent is found here, before the catalog is
 * committed. Afterwards, each control leader would fail on it.
 */
export function findTransportFault(catalog: Catalog): string | undefined {
  try {
    const bytes = Catalog.encode(catalog).finish();
    const {length} = bytes;
    if (length > MAX_CATALOG_BYTES) return `${length} bytes to be sent`;
    const received = Catalog.decode(bytes);
    return isSameCatalog(catalog, received) ? undefined : 'a value is changed';
  } catch (thrown) {
    return toError(thrown).message;
  }
}

function isSameCatalog(a: Catalog, b: Catalog): boolean {
  const delta = makeCatalogDelta(a, b);
  const changes = [
    delta.changed,
    delta.dropped,
    delta.changedAccounts,
    delta.droppedAccounts,
  ];
  const isUnchanged = changes.every(list => list.length === 0);
  const isSameBase =
    a.version === b.version && a.transactionIdleMs === b.transactionIdleMs;
  return isUnchanged && isSameBase && delta.keepsServices;
}

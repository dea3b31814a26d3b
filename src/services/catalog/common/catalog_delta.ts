import type {
  AccountEntry,
  Catalog,
  CatalogDelta,
  DatabaseRoute,
  ServiceEntry,
} from '../../../schema/generated/fleet';
import {applyListDelta} from '../../fleet_link/common/revisioned_list';

/**
 * Computes the difference between two catalogs. A delta is much smaller than
 * the catalog, which keeps links to many proxies and between regions free.
 */
export function makeCatalogDelta(base: Catalog, next: Catalog): CatalogDelta {
  const routes = changesOf(base.routes, next.routes, databaseOf, isSameRoute);
  const accounts = changesOf(
    base.accounts,
    next.accounts,
    accountOf,
    isSameAccount,
  );
  const keepsServices = isSameList(base.services, next.services);
  return {
    baseVersion: base.version,
    version: next.version,
    changed: routes.changed,
    dropped: routes.dropped,
    services: keepsServices ? [] : next.services,
    keepsServices,
    transactionIdleMs: next.transactionIdleMs,
    changedAccounts: accounts.changed,
    droppedAccounts: accounts.dropped,
  };
}

/**
 * Applies a delta; undefined if it is based on another version.
 *
 * Guard: a proxy that missed a version would otherwise use a mixture of
 * catalogs that no operator submitted.
 */
export function applyCatalogDelta(
  base: Catalog,
  delta: CatalogDelta,
): Catalog | undefined {
  if (base.version !== delta.baseVersion) return undefined;
  const {changed, dropped, changedAccounts, droppedAccounts} = delta;
  return {
    version: delta.version,
    routes: applyListDelta(
      base.routes,
      {complete: false, changed, gone: dropped},
      databaseOf,
    ),
    services: delta.keepsServices ? base.services : delta.services,
    transactionIdleMs: delta.transactionIdleMs,
    accounts: applyListDelta(
      base.accounts,
      {complete: false, changed: changedAccounts, gone: droppedAccounts},
      accountOf,
    ),
  };
}

/** The difference between two lists. */
interface ListChanges<T> {
  readonly changed: T[];
  /** Names of removed entries. */
  readonly dropped: string[];
}

function changesOf<T>(
  base: readonly T[],
  next: readonly T[],
  nameOf: (entry: T) => string,
  isSame: (a: T, b: T) => boolean,
): ListChanges<T> {
  const previous = new Map(base.map(entry => [nameOf(entry), entry]));
  const nextNames = new Set(next.map(nameOf));
  const changed = next.filter(entry => {
    const existing = previous.get(nameOf(entry));
    return existing === undefined || !isSame(existing, entry);
  });
  const dropped = [...previous.keys()].filter(name => !nextNames.has(name));
  return {changed, dropped};
}

function databaseOf({database}: DatabaseRoute): string {
  return database;
}

function accountOf({account}: AccountEntry): string {
  return account;
}

function isSameAccount(a: AccountEntry, b: AccountEntry): boolean {
  return (
    a.limit?.perSecond === b.limit?.perSecond &&
    a.limit?.burst === b.limit?.burst &&
    a.keyDigests.join() === b.keyDigests.join()
  );
}

function isSameRoute(a: DatabaseRoute, b: DatabaseRoute): boolean {
  return (
    a.database === b.database &&
    a.name === b.name &&
    a.service === b.service &&
    a.consistency === b.consistency &&
    a.stalenessMs === b.stalenessMs &&
    a.statementMs === b.statementMs &&
    a.objectiveMs === b.objectiveMs &&
    a.priority === b.priority &&
    a.keyed === b.keyed
  );
}

function isSameList(
  a: readonly ServiceEntry[],
  b: readonly ServiceEntry[],
): boolean {
  if (a.length !== b.length) return false;
  return a.every((entry, index) => {
    const other = b[index]!;
    return (
      entry.service === other.service &&
      entry.connections === other.connections &&
      entry.confirmations === other.confirmations
    );
  });
}

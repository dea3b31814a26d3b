import {err, ok, type Result} from '../../../base/common/outcome';
import type {
  AccountEntry,
  Catalog,
  DatabaseRoute,
} from '../../../schema/generated/fleet';
import {AccountIndex} from '../../account/common/account_index';

/** Why a catalog cannot be taken. */
export interface CatalogError {
  readonly reason: string;
}

/** Reads what an operator handed in. */
export interface CatalogReader {
  /**
   * The typed catalog and the canonical text of the source, by which two
   * sources are compared.
   */
  read(source: string): Result<ParsedCatalog, CatalogError>;
}

/** A catalog with the text that it was read from. */
export interface ParsedCatalog {
  readonly catalog: Catalog;
  readonly canonicalText: string;
}

/** Checks what must hold between the parts of a catalog. */
export function validateCatalog(
  catalog: Catalog,
): Result<Catalog, CatalogError> {
  const services = new Set<string>();
  for (const {service} of catalog.services) {
    if (service === '') return fault('a service without a name');
    if (services.has(service)) return fault(`service ${service} stands twice`);
    services.add(service);
  }
  const databases = new Set<string>();
  for (const route of catalog.routes) {
    const {database, name} = route;
    if (database === '') return fault(`route ${name} without a database`);
    if (databases.has(database)) {
      return fault(`two routes for the database ${database}`);
    }
    databases.add(database);
    if (!services.has(route.service)) {
      return fault(`route ${name} names the unknown service ${route.service}`);
    }
    if (route.statementMs <= 0) {
      return fault(`route ${name} gives statements no time`);
    }
  }
  return checkAccounts(catalog.accounts).map(() => catalog);
}

/** A key tells which account a caller is: two cannot hold the same one. */
function checkAccounts(
  accounts: readonly AccountEntry[],
): Result<void, CatalogError> {
  const names = new Set<string>();
  const holders = new Map<string, string>();
  for (const {account, keyDigests} of accounts) {
    if (account === '') return fault('an account without a name');
    if (names.has(account)) return fault(`account ${account} stands twice`);
    names.add(account);
    for (const digest of keyDigests) {
      const holder = holders.get(digest) ?? account;
      if (holder !== account) {
        return fault(`accounts ${holder} and ${account} share a key`);
      }
      holders.set(digest, account);
    }
  }
  return ok(undefined);
}

function fault(reason: string): Result<never, CatalogError> {
  return err({reason});
}

/** A catalog that is looked up by database name, and by key. */
export class CatalogIndex {
  private readonly byDatabase: ReadonlyMap<string, DatabaseRoute>;
  readonly accounts: AccountIndex;

  constructor(readonly catalog: Catalog) {
    this.byDatabase = new Map(
      catalog.routes.map(route => [route.database, route]),
    );
    this.accounts = new AccountIndex(catalog.accounts);
  }

  get version(): number {
    return this.catalog.version;
  }

  route(database: string): DatabaseRoute | undefined {
    return this.byDatabase.get(database);
  }
}

import {err, ok, type Result} from '../../../base/common/result';
import {isName, isWord} from '../../../base/common/words';
import type {
  AccountEntry,
  Catalog,
  DatabaseRoute,
} from '../../../schema/generated/fleet';
import {AccountIndex} from '../../account/common/account_index';
import {findTransportFault} from './catalog_transport';

/** Why a catalog is invalid. */
export interface CatalogError {
  readonly reason: string;
}

/** Parses the catalogs that operators submit. */
export interface CatalogReader {
  /**
   * Returns the catalog and the canonical text of its source; two sources are
   * equal if their canonical texts are.
   */
  read(source: string): Result<ParsedCatalog, CatalogError>;
}

/** A catalog with its source. */
export interface ParsedCatalog {
  readonly catalog: Catalog;
  readonly canonicalText: string;
}

/**
 * Validates the names in a catalog, their references and uniqueness, and that it
 * can be sent to proxies.
 *
 * Guard: names stand in lines of protocols, logs and metrics. A separator in one
 * would make a member run statements that nobody sent.
 */
export function validateCatalog(
  catalog: Catalog,
): Result<Catalog, CatalogError> {
  const services = new Set<string>();
  for (const {service} of catalog.services) {
    if (service === '') return error('a service without a name');
    if (!isWord(service)) return error('a service whose name is no word');
    if (services.has(service)) return error(`service ${service} stands twice`);
    services.add(service);
  }
  const databases = new Set<string>();
  for (const route of catalog.routes) {
    const {database, name} = route;
    if (!isName(name)) return error('a route whose name is no name');
    if (database === '') return error(`route ${name} without a database`);
    if (!isWord(database)) {
      return error(`route ${name} with a database that is no word`);
    }
    if (databases.has(database)) {
      return error(`two routes for the database ${database}`);
    }
    databases.add(database);
    if (!services.has(route.service)) {
      return error(`route ${name} names the unknown service ${route.service}`);
    }
    if (route.statementMs <= 0) {
      return error(`route ${name} gives statements no time`);
    }
  }
  const accounts = validateAccounts(catalog.accounts);
  if (accounts.isErr) return err(accounts.error);
  const fault = findTransportFault(catalog);
  return fault === undefined ? ok(catalog) : error(`not sendable: ${fault}`);
}

/** A key identifies an account, so two accounts cannot share one. */
function validateAccounts(
  accounts: readonly AccountEntry[],
): Result<void, CatalogError> {
  const names = new Set<string>();
  const accountByDigest = new Map<string, string>();
  for (const {account, keyDigests} of accounts) {
    if (account === '') return error('an account without a name');
    if (!isName(account)) return error('an account whose name is no name');
    if (names.has(account)) return error(`account ${account} stands twice`);
    names.add(account);
    for (const digest of keyDigests) {
      const owner = accountByDigest.get(digest) ?? account;
      if (owner !== account) {
        return error(`accounts ${owner} and ${account} share a key`);
      }
      accountByDigest.set(digest, account);
    }
  }
  return ok(undefined);
}

function error(reason: string): Result<never, CatalogError> {
  return err({reason});
}

/** A catalog with lookup by database name and by key. */
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

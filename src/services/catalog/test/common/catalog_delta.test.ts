import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {
  CatalogDelta,
  type AccountEntry,
  type Catalog,
  type DatabaseRoute,
} from '../../../../schema/generated/fleet';
import {
  makeCatalog,
  makeRoute,
} from '../../../gateway/test/node/session_fixture';
import {applyCatalogDelta, makeCatalogDelta} from '../../common/catalog_delta';

/** A catalog after some random changes. */
function change(catalog: Catalog, random: SeededRandom): Catalog {
  let {routes, services} = catalog;
  for (let count = random.integer(0, 4); count > 0; count--) {
    const database = `d${random.integer(0, 12)}`;
    routes = routes.filter(route => route.database !== database);
    if (random.integer(0, 2) === 0) continue;
    const statementMs = random.integer(1, 3) * 400;
    routes = [...routes, makeRoute({database, name: database, statementMs})];
  }
  if (random.integer(0, 4) === 0) {
    const connections = random.integer(8, 40);
    services = [{service: 'books', connections, confirmations: 1}];
  }
  const {accounts} = changeAccounts(catalog, random);
  const version = catalog.version + random.integer(1, 5);
  return {...catalog, version, routes, services, accounts};
}

function changeAccounts(
  {accounts}: Catalog,
  random: SeededRandom,
): {accounts: AccountEntry[]} {
  const account = `a${random.integer(0, 6)}`;
  const others = accounts.filter(other => other.account !== account);
  if (random.integer(0, 2) === 0) return {accounts: others};
  const keyDigests = [`d${random.integer(0, 3)} of ${account}`];
  const limit = {perSecond: random.integer(1, 9), burst: 3};
  return {accounts: [...others, {account, keyDigests, limit}]};
}

/** The content of a catalog, without the order of its lists. */
function contentOf({routes, accounts, ...rest}: Catalog) {
  const byDatabase = new Map<string, DatabaseRoute>();
  for (const route of routes) byDatabase.set(route.database, route);
  const byAccount = new Map(accounts.map(entry => [entry.account, entry]));
  const counts = [routes.length, accounts.length];
  return {...rest, byDatabase, byAccount, counts};
}

describe('a catalog delta', () => {
  it('turns a catalog into the next one', () => {
    for (let seed = 1; seed <= 500; seed++) {
      const random = new SeededRandom(seed);
      let current = makeCatalog([makeRoute()]);
      for (let step = 0; step < 6; step++) {
        const next = change(current, random);
        const bytes = CatalogDelta.encode(
          makeCatalogDelta(current, next),
        ).finish();
        const applied = applyCatalogDelta(current, CatalogDelta.decode(bytes));
        expect(contentOf(applied!), `seed ${seed}`).toEqual(contentOf(next));
        current = applied!;
      }
    }
  });

  it('applies to no other base version', () => {
    // A proxy missed a version when its stream broke and then received a delta.
    // Applied to an older version, a route that was removed in between would
    // still be served.
    const first = makeCatalog([makeRoute()], {version: 1});
    const second = makeCatalog([makeRoute()], {version: 2});
    const third = makeCatalog([], {version: 3});
    const delta = makeCatalogDelta(second, third);
    expect(applyCatalogDelta(first, delta)).toBeUndefined();
  });

  it('of one route in a large catalog takes less than 150 bytes', () => {
    // Load: a large catalog that changes each second, sent to many proxies on
    // slow links.
    const routes = Array.from({length: 1_400}, (...[, at]) => {
      return makeRoute({database: `database-${at}`, name: `route-${at}`});
    });
    const base = makeCatalog(routes, {version: 1});
    const added = makeRoute({database: 'database-new', name: 'route-new'});
    const next = makeCatalog([...routes, added], {version: 2});
    const bytes = CatalogDelta.encode(makeCatalogDelta(base, next)).finish();
    expect(bytes.length).toBeLessThan(150);
  });
});

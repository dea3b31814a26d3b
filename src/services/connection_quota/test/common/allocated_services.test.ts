import {expect, it} from 'vitest';
import type {Catalog, Member} from '../../../../schema/generated/fleet';
import {areUneven} from '../../common/capacity';
import {selectAllocatedServices} from '../../common/allocated_services';

const POOLERS = [
  {service: 'books', instance: 'p1', address: 'p1:1', site: 'a'},
];
const LIMIT = {perSecond: 10, burst: 10};

function makeCatalog(keyed: boolean, limited: boolean): Catalog {
  const route = {
    ...{name: 'r1', database: 'db', service: 'books', consistency: 1},
    ...{stalenessMs: 0, statementMs: 800, objectiveMs: 800, priority: 1},
    keyed,
  };
  const limit = limited ? LIMIT : undefined;
  return {
    version: 1,
    routes: [route],
    services: [{service: 'books', connections: 49, confirmations: 1}],
    transactionIdleMs: 0,
    accounts: [{account: 'fern', keyDigests: [], limit}],
  };
}

const namesOf = (
  catalog: Catalog,
  poolers = POOLERS,
  members: Member[] = [],
  isUneven = false,
) => {
  const inputs = {catalog, members, poolers, areUneven: isUneven};
  return [...selectAllocatedServices(inputs).keys()];
};

it('are those whose poolers serve accounts with limits', () => {
  expect(namesOf(makeCatalog(true, true))).toEqual(['books']);
});

it('are those with poolers where instances differ in capacity', () => {
  const plain = makeCatalog(false, false);
  expect(namesOf(plain, POOLERS, [], true)).toEqual(['books']);
  const capacities = [0.783, 0.891].map(cores => ({cores, linkMbps: 5}));
  expect(areUneven(capacities)).toBe(true);
});

it('are none in other deployments', () => {
  // Guards against a change of behaviour where equal shares are sufficient.
  expect(namesOf(makeCatalog(false, false))).toEqual([]);
  expect(namesOf(makeCatalog(true, false))).toEqual([]);
  expect(namesOf(makeCatalog(false, true))).toEqual([]);
  expect(namesOf(makeCatalog(true, true), [])).toEqual([]);
  const same = {cores: 0.324, linkMbps: 2};
  expect(areUneven([same, same, {cores: 0, linkMbps: 0}])).toBe(false);
  expect(areUneven([])).toBe(false);
});

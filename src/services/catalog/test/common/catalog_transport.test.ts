import {describe, expect, it} from 'vitest';
import type {Consistency} from '../../../../schema/generated/fleet';
import {
  makeCatalog,
  makeRoute,
} from '../../../gateway/test/node/session_fixture';
import {validateCatalog} from '../../common/catalog';
import {MAX_CATALOG_BYTES} from '../../common/catalog_transport';

const reasonOf = (catalog: ReturnType<typeof makeCatalog>) => {
  const validated = validateCatalog(catalog);
  return validated.isErr ? validated.error.reason : 'valid';
};

const withDigests = (keyDigests: string[]) => {
  return {accounts: [{account: 'a', keyDigests, limit: undefined}]};
};

// Guards against a catalog that is committed and that no leader can send.
describe('a catalog that proxies would not receive as it is', () => {
  it('is invalid if a value cannot be encoded', () => {
    const consistency = Object as unknown as Consistency;
    const reason = reasonOf(makeCatalog([makeRoute({consistency})]));
    expect(reason).toMatch(/^not sendable: invalid int32/);
  });

  it('is invalid if a text changes on its way', () => {
    const catalog = makeCatalog([makeRoute()], withDigests(['d\ud800']));
    expect(reasonOf(catalog)).toBe('not sendable: a value is changed');
  });

  it('is invalid if it is larger than a link carries', () => {
    const digest = 'x'.repeat(MAX_CATALOG_BYTES);
    const catalog = makeCatalog([makeRoute()], withDigests([digest]));
    expect(reasonOf(catalog)).toMatch(/^not sendable: \d+ bytes/);
    expect(reasonOf(makeCatalog([makeRoute()]))).toBe('valid');
  });
});

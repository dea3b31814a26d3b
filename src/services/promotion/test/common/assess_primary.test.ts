import {describe, expect, it} from 'vitest';
import {
  assessPrimary,
  type PrimaryObservations,
} from '../../common/assess_primary';

const view = (
  over: Partial<PrimaryObservations> = {},
): PrimaryObservations => ({
  silentMs: 0,
  refused: false,
  draining: false,
  denies: false,
  proxies: 6,
  complaints: 0,
  complainedMs: 0,
  isRevoked: false,
  ...over,
});

const isReplaced = (over: Partial<PrimaryObservations>) => {
  return assessPrimary(view(over)).kind === 'replace';
};

describe('the verdict on a primary', () => {
  it('replaces one that is silent to control and to the proxies', () => {
    expect(isReplaced({silentMs: 800, complaints: 4})).toBe(true);
  });

  it('keeps one that only control cannot reach', () => {
    // A cut between control and the primary: proxies are served. A change
    // would stop writes for a second and win nothing.
    expect(isReplaced({silentMs: 5_000, complaints: 0})).toBe(false);
  });

  it('replaces one that only the proxies cannot reach, if that lasts', () => {
    const cut = {complaints: 3, complainedMs: 200};
    expect(isReplaced(cut)).toBe(false);
    expect(isReplaced({...cut, complainedMs: 1_200})).toBe(true);
  });

  it('keeps one that a minority of proxies cannot reach', () => {
    expect(isReplaced({complaints: 2, complainedMs: 9_000})).toBe(false);
  });

  it('replaces one that leaves, and one whose process is gone', () => {
    expect(isReplaced({draining: true})).toBe(true);
    const gone = {refused: true, silentMs: 200, complaints: 6};
    expect(isReplaced(gone)).toBe(true);
  });

  it('goes on to replace one whose lead was revoked', () => {
    // A primary is cut off together with some proxies, and a replica is too
    // busy to answer the first search for an heir. The proxies were told to
    // rely on nobody meanwhile, and do not complain of nobody. Control took
    // that for content: for 6 s no search followed, and nobody led until the
    // cut healed.
    const revoked = {isRevoked: true, complaints: 0};
    expect(isReplaced({...revoked, silentMs: 1_400})).toBe(true);
    const gone = {refused: true, silentMs: 200};
    expect(isReplaced({...revoked, ...gone})).toBe(true);
  });

  it('keeps one whose lead was revoked and that answers again', () => {
    expect(isReplaced({isRevoked: true, silentMs: 100})).toBe(false);
  });
});

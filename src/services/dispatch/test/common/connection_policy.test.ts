import {expect, it} from 'vitest';
import {
  LeastRecentlyUsed,
  type ConnectionCounts,
} from '../../common/connection_policy';

const policy = new LeastRecentlyUsed();

function counts(overrides: Partial<ConnectionCounts> = {}): ConnectionCounts {
  const connecting = overrides.connectingForUser ?? 0;
  const defaults = {open: 0, connectingForUser: 0, limit: 8, isGranted: false};
  return {...defaults, connecting, ...overrides};
}

it('opens one connection at a time if the limit is not granted', () => {
  expect(policy.canConnect(counts(), false)).toBe(true);
  expect(policy.canConnect(counts({connectingForUser: 1}), false)).toBe(false);
});

it('opens two connections at a time within a granted limit', () => {
  // In a burst, serial connects would take longer than callers wait.
  const granted = {isGranted: true};
  expect(
    policy.canConnect(counts({...granted, connectingForUser: 1}), false),
  ).toBe(true);
  expect(
    policy.canConnect(counts({...granted, connectingForUser: 2}), false),
  ).toBe(false);
  const full = counts({...granted, connectingForUser: 1, open: 7});
  expect(policy.canConnect(full, false)).toBe(false);
});

import {expect, it} from 'vitest';
import {
  LeastRecentlyUsed,
  type ConnectionCounts,
} from '../../common/connection_policy';

const policy = new LeastRecentlyUsed();

function counts(over: Partial<ConnectionCounts> = {}): ConnectionCounts {
  const opening = over.connectingForUser ?? 0;
  const none = {open: 0, connectingForUser: 0, limit: 8, isGranted: false};
  return {...none, connecting: opening, ...over};
}

it('opens one connection at a time where all instances may open', () => {
  expect(policy.canConnect(counts(), false)).toBe(true);
  expect(policy.canConnect(counts({connectingForUser: 1}), false)).toBe(false);
});

it('opens two at a time within what control handed out', () => {
  // Load: an opening takes two ways of 40 ms, and work comes in bursts for
  // which a pooler may open eight. One after the other they took 0.8 s, longer
  // than callers wait.
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

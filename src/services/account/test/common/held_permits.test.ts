import {describe, expect, it} from 'vitest';
import type {PermitDecision} from '../../common/permit_counting';
import {HeldPermits} from '../../common/held_permits';
import {RefusalTracker} from '../../common/refusal_tracker';

const ACCOUNT = 'fern';

function granted(count: number): PermitDecision {
  return {kind: 'granted', count, validMs: 500, waitMs: 0};
}

function refused(retryAfterMs: number): PermitDecision {
  return {kind: 'refused', retryAfterMs};
}

/** Takes all cached permits and returns their number. */
function takeAll(permits: HeldPermits, now: number): number {
  let count = 0;
  while (permits.tryTake(ACCOUNT, now).kind === 'taken') count++;
  return count;
}

describe('cached permits', () => {
  it('are the permits of an answer except the first one', () => {
    const permits = new HeldPermits();
    permits.onDidReceiveDecision(ACCOUNT, 0, granted(4), 20);
    expect(takeAll(permits, 20)).toBe(3);
  });

  it('expire, as counted from the request', () => {
    // Guards against the use of expired permits, whose tokens the counter has
    // refilled.
    const permits = new HeldPermits();
    permits.onDidReceiveDecision(ACCOUNT, 0, granted(4), 60);
    expect(permits.tryTake(ACCOUNT, 499).kind).toBe('taken');
    expect(permits.tryTake(ACCOUNT, 500).kind).toBe('request');
  });

  it('are used in the order in which they expire', () => {
    const permits = new HeldPermits();
    permits.onDidReceiveDecision(ACCOUNT, 200, granted(2), 210);
    permits.onDidReceiveDecision(ACCOUNT, 0, granted(2), 220);
    expect(permits.tryTake(ACCOUNT, 480).kind).toBe('taken');
    expect(permits.tryTake(ACCOUNT, 510).kind).toBe('taken');
  });

  it('can be returned until they expire', () => {
    const permits = new HeldPermits();
    permits.onDidReceiveDecision(ACCOUNT, 0, granted(2), 10);
    expect(takeAll(permits, 10)).toBe(1);
    expect(permits.returnPermit(ACCOUNT, 100)).toBe(true);
    expect(permits.returnPermit(ACCOUNT, 100)).toBe(false);
    expect(takeAll(permits, 499)).toBe(1);
    expect(permits.returnPermit(ACCOUNT, 500)).toBe(false);
  });

  it('are requested as far as they can be used in time', () => {
    const permits = new HeldPermits();
    for (let now = 0; now < 10_000; now += 1_000) {
      const lookup = permits.tryTake(ACCOUNT, now);
      expect(lookup).toMatchObject({kind: 'request', wanted: 1});
    }
    let maxWanted = 0;
    for (let now = 10_000; now < 20_000; now += 20) {
      const lookup = permits.tryTake(ACCOUNT, now);
      if (lookup.kind !== 'request') continue;
      maxWanted = Math.max(maxWanted, lookup.wanted);
      permits.onDidReceiveDecision(ACCOUNT, now, granted(1), now);
    }
    // Half a second at 50 a second, less the time that a request takes.
    expect(maxWanted).toBeGreaterThan(15);
    expect(maxWanted).toBeLessThanOrEqual(25);
  });

  it('are requested by one batch at a time', () => {
    const permits = new HeldPermits();
    for (let now = 0; now < 2_000; now += 10) permits.tryTake(ACCOUNT, now);
    expect(permits.tryTake(ACCOUNT, 2_000)).toMatchObject({kind: 'request'});
    expect(permits.tryTake(ACCOUNT, 2_001)).toMatchObject({wanted: 1});
  });
});

describe('a refusal', () => {
  it('is cached, with a later retry time for each caller', () => {
    const permits = new HeldPermits();
    permits.onDidReceiveDecision(ACCOUNT, 0, refused(300), 10);
    const times: number[] = [];
    for (let count = 0; count < 5; count++) {
      const lookup = permits.tryTake(ACCOUNT, 100);
      if (lookup.kind === 'refused') times.push(lookup.retryAfterMs);
    }
    expect(times.length).toBe(5);
    expect(times[0]).toBeGreaterThanOrEqual(200);
    expect(new Set(times).size).toBe(5);
    expect(times).toEqual([...times].sort((one, two) => one - two));
    expect(permits.tryTake(ACCOUNT, 300).kind).toBe('request');
  });

  it('is not cached for long', () => {
    // Guards against refusals after a limit was raised or the load moved.
    const permits = new HeldPermits();
    permits.onDidReceiveDecision(ACCOUNT, 0, refused(5_000), 10);
    expect(permits.tryTake(ACCOUNT, 400).kind).toBe('refused');
    expect(permits.tryTake(ACCOUNT, 600).kind).toBe('request');
  });

  it('is dropped with the next permit', () => {
    const permits = new HeldPermits();
    permits.onDidReceiveDecision(ACCOUNT, 0, refused(300), 10);
    permits.onDidReceiveDecision(ACCOUNT, 5, granted(2), 20);
    expect(permits.tryTake(ACCOUNT, 30).kind).toBe('taken');
    expect(permits.tryTake(ACCOUNT, 30).kind).toBe('request');
  });

  it('reduces the number of counters that are tried', () => {
    const permits = new HeldPermits();
    expect(permits.tryTake(ACCOUNT, 0)).toMatchObject({maxFurtherCounters: 5});
    permits.onDidReceiveDecision(ACCOUNT, 0, refused(300), 10);
    expect(permits.tryTake(ACCOUNT, 400)).toMatchObject({
      maxFurtherCounters: 1,
    });
    expect(permits.tryTake(ACCOUNT, 2_000)).toMatchObject({
      maxFurtherCounters: 5,
    });
  });
});

describe('a tracker of refusals', () => {
  it('allows a number of further counters', () => {
    const refusals = new RefusalTracker(1);
    refusals.add(0, {kind: 'refused', retryAfterMs: 700});
    expect(refusals.canTryAnother).toBe(true);
    refusals.add(10, {kind: 'refused', retryAfterMs: 300});
    expect(refusals.canTryAnother).toBe(false);
  });

  it('returns the earliest retry time of all counters', () => {
    const refusals = new RefusalTracker(5);
    expect(refusals.refusalAt(0)).toBeUndefined();
    refusals.add(0, {kind: 'refused', retryAfterMs: 700});
    refusals.add(10, {kind: 'refused', retryAfterMs: 300});
    const refusal = refusals.refusalAt(20);
    expect(refusal).toEqual({kind: 'refused', retryAfterMs: 290});
  });
});

import {describe, expect, it} from 'vitest';
import {CurrentPrimary} from '../../common/current_primary';
import {PrimaryOutage} from '../../common/primary_outage';

describe('PrimaryOutage', () => {
  it('expects no end while the primary serves', () => {
    const outage = new PrimaryOutage();
    outage.setState('serving', 100);
    expect(outage.expectedEndAt(200)).toBeUndefined();
  });

  it('tells which requests can be served before their deadline', () => {
    // Callers that wait in vain, or retry at once, use up all their attempts
    // within the outage.
    const outage = new PrimaryOutage();
    outage.setState('unreachable', 1_000);
    const canWait = (arrivedAt: number) => {
      return outage.expectedEndAt(arrivedAt)! <= arrivedAt + 800;
    };
    expect(canWait(1_100)).toBe(false);
    expect(canWait(1_900)).toBe(false);
    expect(canWait(2_100)).toBe(true);
  });

  it('expects an early end if the member reports that it was replaced', () => {
    const outage = new PrimaryOutage();
    outage.setState('replaced', 1_000);
    expect(outage.expectedEndAt(1_000)).toBe(1_600);
  });

  it('expects an overdue outage to last longer', () => {
    const outage = new PrimaryOutage();
    outage.setState('unreachable', 0);
    expect(outage.expectedEndAt(4_000)).toBe(6_000);
    outage.setState('unreachable', 4_000);
    expect(outage.expectedEndAt(8_000)).toBe(12_000);
    outage.setState('serving', 8_100);
    expect(outage.expectedEndAt(8_200)).toBeUndefined();
  });
});

describe('CurrentPrimary', () => {
  it('ignores an older assignment', () => {
    const primary = new CurrentPrimary();
    primary.update('b', 3);
    expect(primary.update('a', 2)).toBe(false);
    expect(primary.instance).toBe('b');
  });

  it('accepts no other member than the assigned one', () => {
    // The assigned member refuses a write as a replica. Any other member that
    // reports it is primary may have been replaced.
    const primary = new CurrentPrimary();
    primary.update('a', 1);
    expect(primary.markDemoted('a')).toBe(true);
    expect(primary.isUsable).toBe(false);
    expect(primary.markPromoted('b')).toBe(false);
    expect(primary.isUsable).toBe(false);
    expect(primary.markPromoted('a')).toBe(true);
    expect(primary.isUsable).toBe(true);
  });

  it('is not usable while no member is assigned', () => {
    const primary = new CurrentPrimary();
    primary.update('a', 1);
    expect(primary.update('', 1)).toBe(true);
    expect(primary.isUsable).toBe(false);
    primary.update('b', 2);
    expect(primary.isUsable).toBe(true);
  });
});

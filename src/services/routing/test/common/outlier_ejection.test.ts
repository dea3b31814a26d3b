import {describe, expect, it} from 'vitest';
import {instanceId} from '../../../../base/common/ids';
import {OutlierEjection} from '../../common/outlier_ejection';

const SLOW = instanceId('slow');

function fail(ejection: OutlierEjection, times: number, usableCount = 3): void {
  for (let i = 0; i < times; i++) ejection.onFailure(SLOW, usableCount, 0);
}

describe('OutlierEjection', () => {
  // Every read on a replica that accepts connections but never replies would
  // wait for its deadline.
  it('ejects a target that fails repeatedly, longer each time', () => {
    const ejection = new OutlierEjection(1);
    fail(ejection, 2);
    expect(ejection.isEjected(SLOW, 0)).toBe(false);
    fail(ejection, 1);
    expect(ejection.isEjected(SLOW, 499)).toBe(true);
    expect(ejection.isEjected(SLOW, 500)).toBe(false);
    fail(ejection, 3);
    expect(ejection.isEjected(SLOW, 999)).toBe(true);
  });

  it('limits the concurrency of a target after its return', () => {
    const ejection = new OutlierEjection(1);
    fail(ejection, 3);
    expect(ejection.concurrencyLimitOf(SLOW, 700)).toBe(1);
    expect(ejection.concurrencyLimitOf(SLOW, 1_600)).toBe(Infinity);
  });

  it('never ejects the last target', () => {
    const ejection = new OutlierEjection(1);
    fail(ejection, 10, 1);
    expect(ejection.isEjected(SLOW, 0)).toBe(false);
  });
});

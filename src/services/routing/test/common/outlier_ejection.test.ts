import {describe, expect, it} from 'vitest';
import {instanceId} from '../../../../base/common/ids';
import {OutlierEjection} from '../../common/outlier_ejection';

const SLOW = instanceId('slow');

function failTimes(ejection: OutlierEjection, times: number, usable = 3): void {
  for (let at = 0; at < times; at++) ejection.onFailure(SLOW, usable, 0);
}

describe('outlier ejection', () => {
  // One replica accepts and never answers. Every read that is sent there
  // waits out its deadline for as long as nobody leaves it alone.
  it('leaves a target alone that keeps failing, and longer each time', () => {
    const ejection = new OutlierEjection(1);
    failTimes(ejection, 2);
    expect(ejection.isEjected(SLOW, 0)).toBe(false);
    failTimes(ejection, 1);
    expect(ejection.isEjected(SLOW, 499)).toBe(true);
    expect(ejection.isEjected(SLOW, 500)).toBe(false);
    failTimes(ejection, 3);
    expect(ejection.isEjected(SLOW, 999)).toBe(true);
  });

  it('lets it come back slowly', () => {
    const ejection = new OutlierEjection(1);
    failTimes(ejection, 3);
    expect(ejection.concurrencyLimitOf(SLOW, 700)).toBe(1);
    expect(ejection.concurrencyLimitOf(SLOW, 1_600)).toBe(Infinity);
  });

  it('never ejects the last one', () => {
    const ejection = new OutlierEjection(1);
    failTimes(ejection, 10, 1);
    expect(ejection.isEjected(SLOW, 0)).toBe(false);
  });
});

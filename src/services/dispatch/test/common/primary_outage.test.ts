import {describe, expect, it} from 'vitest';
import {CurrentPrimary} from '../../common/current_primary';
import {PrimaryOutage} from '../../common/primary_outage';

describe('the end of an outage', () => {
  it('is not expected while the primary serves', () => {
    const outage = new PrimaryOutage();
    outage.setState('serving', 100);
    expect(outage.expectedEndAt(200)).toBeUndefined();
  });

  it('tells which requests may wait, and which should come back', () => {
    // A primary dies under load. Each caller tries three times with 0.8 s for
    // a statement; held until they are hopeless, or refused without a time,
    // all three tries fall into the outage.
    const outage = new PrimaryOutage();
    outage.setState('lost', 1_000);
    const mayWait = (arrival: number) => {
      return outage.expectedEndAt(arrival)! <= arrival + 800;
    };
    expect(mayWait(1_100)).toBe(false);
    expect(mayWait(1_900)).toBe(false);
    expect(mayWait(2_100)).toBe(true);
  });

  it('is near where the member itself says that it was replaced', () => {
    const outage = new PrimaryOutage();
    outage.setState('deposed', 1_000);
    expect(outage.expectedEndAt(1_000)).toBe(1_600);
  });

  it('moves on when it is overdue, without an end', () => {
    const outage = new PrimaryOutage();
    outage.setState('lost', 0);
    expect(outage.expectedEndAt(4_000)).toBe(6_000);
    outage.setState('lost', 4_000);
    expect(outage.expectedEndAt(8_000)).toBe(12_000);
    outage.setState('serving', 8_100);
    expect(outage.expectedEndAt(8_200)).toBeUndefined();
  });
});

describe('the belief in a primary', () => {
  it('does not go back to a decision that is over', () => {
    const belief = new CurrentPrimary();
    belief.update('b', 3);
    expect(belief.update('a', 2)).toBe(false);
    expect(belief.instance).toBe('b');
  });

  it('takes no member in place of the one that control named', () => {
    // The old primary still announces that it leads, and answers a write with
    // the word that it does not. Nobody is used until control names another or
    // the member says otherwise: any other one may have been replaced.
    const belief = new CurrentPrimary();
    belief.update('a', 1);
    expect(belief.markDemoted('a')).toBe(true);
    expect(belief.isUsable).toBe(false);
    expect(belief.markPromoted('b')).toBe(false);
    expect(belief.isUsable).toBe(false);
    expect(belief.markPromoted('a')).toBe(true);
    expect(belief.isUsable).toBe(true);
  });

  it('relies on nobody while control names nobody', () => {
    const belief = new CurrentPrimary();
    belief.update('a', 1);
    expect(belief.update('', 1)).toBe(true);
    expect(belief.isUsable).toBe(false);
    belief.update('b', 2);
    expect(belief.isUsable).toBe(true);
  });
});

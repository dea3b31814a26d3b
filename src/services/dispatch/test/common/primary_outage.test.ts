import {describe, expect, it} from 'vitest';
import {PrimaryBelief} from '../../common/primary_belief';
import {PrimaryOutage} from '../../common/primary_outage';

describe('the end of an outage', () => {
  it('is not expected while the primary serves', () => {
    const outage = new PrimaryOutage();
    outage.note('serving', 100);
    expect(outage.expectedEnd(200)).toBeUndefined();
  });

  it('tells which requests may wait, and which should come back', () => {
    // A primary dies under load. Each caller tries three times with 0.8 s for
    // a statement; held until they are hopeless, or refused without a time,
    // all three tries fall into the outage.
    const outage = new PrimaryOutage();
    outage.note('lost', 1_000);
    const mayWait = (arrival: number) => {
      return outage.expectedEnd(arrival)! <= arrival + 800;
    };
    expect(mayWait(1_100)).toBe(false);
    expect(mayWait(1_900)).toBe(false);
    expect(mayWait(2_100)).toBe(true);
  });

  it('is near where the member itself says that it was replaced', () => {
    const outage = new PrimaryOutage();
    outage.note('deposed', 1_000);
    expect(outage.expectedEnd(1_000)).toBe(1_600);
  });

  it('moves on when it is overdue, without an end', () => {
    const outage = new PrimaryOutage();
    outage.note('lost', 0);
    expect(outage.expectedEnd(4_000)).toBe(6_000);
    outage.note('lost', 4_000);
    expect(outage.expectedEnd(8_000)).toBe(12_000);
    outage.note('serving', 8_100);
    expect(outage.expectedEnd(8_200)).toBeUndefined();
  });
});

describe('the belief in a primary', () => {
  it('does not go back to a decision that is over', () => {
    const belief = new PrimaryBelief();
    belief.take('b', 3);
    expect(belief.take('a', 2)).toBe(false);
    expect(belief.instance).toBe('b');
  });

  it('takes no member in place of the one that control named', () => {
    // The old primary still announces that it leads, and answers a write with
    // the word that it does not. Nobody is used until control names another or
    // the member says otherwise: any other one may have been replaced.
    const belief = new PrimaryBelief();
    belief.take('a', 1);
    expect(belief.deny('a')).toBe(true);
    expect(belief.isStanding).toBe(false);
    expect(belief.confirm('b')).toBe(false);
    expect(belief.isStanding).toBe(false);
    expect(belief.confirm('a')).toBe(true);
    expect(belief.isStanding).toBe(true);
  });

  it('relies on nobody while control names nobody', () => {
    const belief = new PrimaryBelief();
    belief.take('a', 1);
    expect(belief.take('', 1)).toBe(true);
    expect(belief.isStanding).toBe(false);
    belief.take('b', 2);
    expect(belief.isStanding).toBe(true);
  });
});

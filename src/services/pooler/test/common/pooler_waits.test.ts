import {describe, expect, it} from 'vitest';
import type {WorkWait} from '../../../../schema/generated/pooler';
import {selectByWait} from '../../common/select_by_wait';
import {PoolerWaits} from '../../common/pooler_waits';
import {WaitReport} from '../../common/wait_report';

const word = (priority: number, waitMs: number): WorkWait => {
  return {service: 'books', needsPrimary: false, priority, waitMs};
};

const question = (priority: number) => {
  return {service: 'books', needsPrimary: false, priority};
};

describe('the words of poolers on their waits', () => {
  it('count for 300 ms, less the time that went by', () => {
    const waits = new PoolerWaits();
    waits.update([word(1, 400)], 1_000);
    expect(waits.expectedWaitMs(question(1), 1_000)).toBe(400);
    expect(waits.expectedWaitMs(question(1), 1_200)).toBe(200);
    expect(waits.expectedWaitMs(question(1), 1_301)).toBe(0);
  });

  it('hold for the less urgent too, and not for the more urgent', () => {
    const waits = new PoolerWaits();
    waits.update([word(1, 400)], 0);
    expect(waits.expectedWaitMs(question(2), 0)).toBe(400);
    expect(waits.expectedWaitMs(question(0), 0)).toBe(0);
    const primary = {...question(1), needsPrimary: true};
    expect(waits.expectedWaitMs(primary, 0)).toBe(0);
  });

  it('are over once the pooler says so', () => {
    const waits = new PoolerWaits();
    waits.update([word(1, 400)], 0);
    waits.update([word(1, 0)], 10);
    expect(waits.expectedWaitMs(question(1), 10)).toBe(0);
  });
});

describe('what a pooler tells of its waits', () => {
  it('is nothing while nobody waits for long', () => {
    const report = new WaitReport();
    expect(report.nextEntries('books', [])).toEqual([]);
    expect(report.nextEntries('books', [word(1, 12)])).toEqual([]);
  });

  it('is each long wait, and once that it is over', () => {
    const report = new WaitReport();
    expect(report.nextEntries('books', [word(1, 80)])).toEqual([word(1, 80)]);
    expect(report.nextEntries('books', [word(1, 81)])).toEqual([word(1, 81)]);
    expect(report.nextEntries('books', [word(1, 3)])).toEqual([word(1, 0)]);
    expect(report.nextEntries('books', [word(1, 3)])).toEqual([]);
  });

  it('is bounded', () => {
    const waits = [...Array(40).keys()].map(at => word(at, 100));
    expect(new WaitReport().nextEntries('books', waits).length).toBeLessThan(7);
  });
});

describe('the choice of a pooler by its wait', () => {
  const offer = (link: string, waitMs: number) => ({link, waitMs});

  it('stays with the first while work is in time there', () => {
    const choice = selectByWait(offer('a', 300), [offer('b', 0)], 400);
    expect(choice).toEqual({kind: 'send', link: 'a'});
  });

  it('takes another with clearly less wait', () => {
    const choice = selectByWait(offer('a', 500), [offer('b', 50)], 400);
    expect(choice).toEqual({kind: 'send', link: 'b'});
  });

  it('refuses what would be late everywhere', () => {
    // Whoever hears so within a millisecond may come back in time; after a way
    // to a pooler and a wait there its time is over.
    const others = [offer('b', 460), offer('c', 900)];
    expect(selectByWait(offer('a', 600), others, 400)).toEqual({
      kind: 'refuse',
      load: offer('b', 460),
    });
  });
});

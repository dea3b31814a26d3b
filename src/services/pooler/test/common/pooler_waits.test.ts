import {describe, expect, it} from 'vitest';
import type {WorkWait} from '../../../../schema/generated/pooler';
import {selectByWait} from '../../common/select_by_wait';
import {PoolerWaits} from '../../common/pooler_waits';
import {WaitReport} from '../../common/wait_report';

const makeWait = (priority: number, waitMs: number): WorkWait => {
  return {service: 'books', needsPrimary: false, priority, waitMs};
};

const makeQuery = (priority: number) => {
  return {service: 'books', needsPrimary: false, priority};
};

describe('the waits that poolers report', () => {
  it('are valid for 300 ms and decrease with time', () => {
    const waits = new PoolerWaits();
    waits.update([makeWait(1, 400)], 1_000);
    expect(waits.expectedWaitMs(makeQuery(1), 1_000)).toBe(400);
    expect(waits.expectedWaitMs(makeQuery(1), 1_200)).toBe(200);
    expect(waits.expectedWaitMs(makeQuery(1), 1_301)).toBe(0);
  });

  it('apply to lower priorities and not to higher ones', () => {
    const waits = new PoolerWaits();
    waits.update([makeWait(1, 400)], 0);
    expect(waits.expectedWaitMs(makeQuery(2), 0)).toBe(400);
    expect(waits.expectedWaitMs(makeQuery(0), 0)).toBe(0);
    const primary = {...makeQuery(1), needsPrimary: true};
    expect(waits.expectedWaitMs(primary, 0)).toBe(0);
  });

  it('end when the pooler reports 0', () => {
    const waits = new PoolerWaits();
    waits.update([makeWait(1, 400)], 0);
    waits.update([makeWait(1, 0)], 10);
    expect(waits.expectedWaitMs(makeQuery(1), 10)).toBe(0);
  });
});

describe('the wait report of a pooler', () => {
  it('is empty while no request waits for long', () => {
    const report = new WaitReport();
    expect(report.nextEntries('books', [])).toEqual([]);
    expect(report.nextEntries('books', [makeWait(1, 12)])).toEqual([]);
  });

  it('has each long wait, and its end once', () => {
    const report = new WaitReport();
    expect(report.nextEntries('books', [makeWait(1, 80)])).toEqual([
      makeWait(1, 80),
    ]);
    expect(report.nextEntries('books', [makeWait(1, 81)])).toEqual([
      makeWait(1, 81),
    ]);
    expect(report.nextEntries('books', [makeWait(1, 3)])).toEqual([
      makeWait(1, 0),
    ]);
    expect(report.nextEntries('books', [makeWait(1, 3)])).toEqual([]);
  });

  it('is bounded', () => {
    const waits = [...Array(40).keys()].map(at => makeWait(at, 100));
    expect(new WaitReport().nextEntries('books', waits).length).toBeLessThan(7);
  });
});

describe('the selection of a pooler by its wait', () => {
  const offer = (link: string, waitMs: number) => ({link, waitMs});

  it('keeps the first pooler while a request is in time there', () => {
    const selection = selectByWait(offer('a', 300), [offer('b', 0)], 400);
    expect(selection).toEqual({kind: 'send', link: 'a'});
  });

  it('moves to a pooler with a clearly shorter wait', () => {
    const selection = selectByWait(offer('a', 500), [offer('b', 50)], 400);
    expect(selection).toEqual({kind: 'send', link: 'b'});
  });

  it('refuses a request that would be late everywhere', () => {
    // A caller that is refused at once can retry in time; after a wait at a
    // pooler its time is over.
    const others = [offer('b', 460), offer('c', 900)];
    expect(selectByWait(offer('a', 600), others, 400)).toEqual({
      kind: 'refuse',
      load: offer('b', 460),
    });
  });
});

import {describe, expect, it} from 'vitest';
import {OffsetHistory} from '../../common/offset_history';

describe('OffsetHistory', () => {
  it('counts the age from the request to the primary, not its reply', () => {
    const history = new OffsetHistory();
    history.onSample(100, 7);
    expect(history.ageOf(7, 130)).toBe(30);
    expect(history.ageOf(6, 130)).toBe(Infinity);
  });

  it('does not age a replica that has all data', () => {
    const history = new OffsetHistory();
    for (let time = 0; time <= 1_000; time += 50) history.onSample(time, 7);
    expect(history.ageOf(7, 1_010)).toBe(10);
  });

  it('uses the newest sample that a lagging replica has reached', () => {
    const history = new OffsetHistory();
    history.onSample(100, 5);
    history.onSample(200, 8);
    history.onSample(300, 9);
    expect(history.ageOf(8, 310)).toBe(110);
    expect(history.ageOf(7, 310)).toBe(210);
  });

  // During an outage of the primary, reads of fresh data would be refused
  // although nothing newer exists.
  it('does not age data while no write can be acknowledged', () => {
    const history = new OffsetHistory();
    history.onSample(100, 5);
    history.onWritesBlocked(150, 160);
    history.onWritesBlocked(900, 910);
    expect(history.ageOf(5, 1_000)).toBe(160);
    history.onWritesResumed();
    expect(history.ageOf(5, 1_100)).toBe(260);
  });

  // A late notice may arrive when another proxy acknowledges writes again, so
  // it says nothing about the time until its receipt.
  it('ages data despite a notice without a request', () => {
    const history = new OffsetHistory();
    history.onSample(100, 5);
    history.onWritesBlocked(-Infinity, 160);
    expect(history.ageOf(5, 1_000)).toBe(900);
    history.onWritesResumed();
    expect(history.ageOf(5, 1_000)).toBe(900);
  });

  // Unconfirmed writes of an old primary are rolled back; a replica at the
  // start of the new term has all acknowledged data.
  it('lowers offsets past the start of a new term', () => {
    const history = new OffsetHistory();
    history.onSample(100, 50);
    history.onSample(200, 60);
    history.onTermStart(55);
    expect(history.ageOf(55, 210)).toBe(10);
  });
});

import {describe, expect, it} from 'vitest';
import {OffsetHistory} from '../../common/offset_history';

describe('the age of figures', () => {
  it('counts from when the primary was asked, not from its answer', () => {
    const history = new OffsetHistory();
    history.onSample(100, 7);
    expect(history.ageOf(7, 130)).toBe(30);
    expect(history.ageOf(6, 130)).toBe(Infinity);
  });

  it('does not grow for a replica that has all there is', () => {
    const history = new OffsetHistory();
    for (let time = 0; time <= 1_000; time += 50) history.onSample(time, 7);
    expect(history.ageOf(7, 1_010)).toBe(10);
  });

  it('takes the newest sample that a lagging replica has reached', () => {
    const history = new OffsetHistory();
    history.onSample(100, 5);
    history.onSample(200, 8);
    history.onSample(300, 9);
    expect(history.ageOf(8, 310)).toBe(110);
    expect(history.ageOf(7, 310)).toBe(210);
  });

  // The primary is lost during a board meeting. For a second nobody can write,
  // so figures that were fresh enough still are: refusing them would stall the
  // meeting for nothing.
  it('stands still while nobody can acknowledge a write', () => {
    const history = new OffsetHistory();
    history.onSample(100, 5);
    history.onWritesBlocked(150, 160);
    history.onWritesBlocked(900, 910);
    expect(history.ageOf(5, 1_000)).toBe(160);
    history.onWritesResumed();
    expect(history.ageOf(5, 1_100)).toBe(260);
  });

  // A notice that was under way for a second arrives when another proxy
  // already acknowledges again. It proves nothing about the time since.
  it('does not stand still on the word of a notice alone', () => {
    const history = new OffsetHistory();
    history.onSample(100, 5);
    history.onWritesBlocked(-Infinity, 160);
    expect(history.ageOf(5, 1_000)).toBe(900);
    history.onWritesResumed();
    expect(history.ageOf(5, 1_000)).toBe(900);
  });

  // An old primary had writes that no replica confirmed. After the change they
  // are gone: a replica at the start of the new term has all that counts.
  it('forgets offsets past the start of a new term', () => {
    const history = new OffsetHistory();
    history.onSample(100, 50);
    history.onSample(200, 60);
    history.onTermStart(55);
    expect(history.ageOf(55, 210)).toBe(10);
  });
});

import {describe, expect, it} from 'vitest';
import type {PermitDecision} from '../../common/permit_counting';
import {HeldPermits} from '../../common/held_permits';
import {PermitQuestion} from '../../common/refusal_tracker';

const ACCOUNT = 'fern';

function granted(count: number): PermitDecision {
  return {kind: 'granted', count, validMs: 500, waitMs: 0};
}

function refused(retryAfterMs: number): PermitDecision {
  return {kind: 'refused', retryAfterMs};
}

/** Takes permits until a counter would have to be asked. */
function takeAll(book: HeldPermits, now: number): number {
  let count = 0;
  while (book.tryTake(ACCOUNT, now).kind === 'taken') count++;
  return count;
}

describe('permits in hand', () => {
  it('are those beyond the first', () => {
    const book = new HeldPermits();
    book.onDidReceiveDecision(ACCOUNT, 0, granted(4), 20);
    expect(takeAll(book, 20)).toBe(3);
  });

  it('end when their time is over, counted from the question', () => {
    // The counter fills its bucket again then. Used later, they would run
    // twice.
    const book = new HeldPermits();
    book.onDidReceiveDecision(ACCOUNT, 0, granted(4), 60);
    expect(book.tryTake(ACCOUNT, 499).kind).toBe('taken');
    expect(book.tryTake(ACCOUNT, 500).kind).toBe('ask');
  });

  it('are used in the order in which they end', () => {
    const book = new HeldPermits();
    book.onDidReceiveDecision(ACCOUNT, 200, granted(2), 210);
    book.onDidReceiveDecision(ACCOUNT, 0, granted(2), 220);
    expect(book.tryTake(ACCOUNT, 480).kind).toBe('taken');
    expect(book.tryTake(ACCOUNT, 510).kind).toBe('taken');
  });

  it('come back where the operation did not run, for the same time', () => {
    const book = new HeldPermits();
    book.onDidReceiveDecision(ACCOUNT, 0, granted(2), 10);
    expect(takeAll(book, 10)).toBe(1);
    expect(book.returnPermit(ACCOUNT, 100)).toBe(true);
    expect(book.returnPermit(ACCOUNT, 100)).toBe(false);
    expect(takeAll(book, 499)).toBe(1);
    expect(book.returnPermit(ACCOUNT, 500)).toBe(false);
  });

  it('are asked for as many as are used while they are valid', () => {
    const book = new HeldPermits();
    for (let now = 0; now < 10_000; now += 1_000) {
      const known = book.tryTake(ACCOUNT, now);
      expect(known).toMatchObject({kind: 'ask', wanted: 1});
    }
    let most = 0;
    for (let now = 10_000; now < 20_000; now += 20) {
      const known = book.tryTake(ACCOUNT, now);
      if (known.kind !== 'ask') continue;
      most = Math.max(most, known.wanted);
      book.onDidReceiveDecision(ACCOUNT, now, granted(1), now);
    }
    // 50 a second for half a second, of which a part goes on the way.
    expect(most).toBeGreaterThan(15);
    expect(most).toBeLessThanOrEqual(25);
  });

  it('are asked for once at a time', () => {
    const book = new HeldPermits();
    for (let now = 0; now < 2_000; now += 10) book.tryTake(ACCOUNT, now);
    expect(book.tryTake(ACCOUNT, 2_000)).toMatchObject({kind: 'ask'});
    expect(book.tryTake(ACCOUNT, 2_001)).toMatchObject({wanted: 1});
  });
});

describe('a refusal', () => {
  it('is remembered until there is room, each with a later time', () => {
    const book = new HeldPermits();
    book.onDidReceiveDecision(ACCOUNT, 0, refused(300), 10);
    const times: number[] = [];
    for (let count = 0; count < 5; count++) {
      const known = book.tryTake(ACCOUNT, 100);
      if (known.kind === 'refused') times.push(known.retryAfterMs);
    }
    expect(times.length).toBe(5);
    expect(times[0]).toBeGreaterThanOrEqual(200);
    expect(new Set(times).size).toBe(5);
    expect(times).toEqual([...times].sort((one, two) => one - two));
    expect(book.tryTake(ACCOUNT, 300).kind).toBe('ask');
  });

  it('is not remembered for long', () => {
    // An operator raises a limit, or callers come elsewhere: a proxy that was
    // told of room in 5 s would refuse callers for whom there is room now.
    const book = new HeldPermits();
    book.onDidReceiveDecision(ACCOUNT, 0, refused(5_000), 10);
    expect(book.tryTake(ACCOUNT, 400).kind).toBe('refused');
    expect(book.tryTake(ACCOUNT, 600).kind).toBe('ask');
  });

  it('ends with the next permit', () => {
    const book = new HeldPermits();
    book.onDidReceiveDecision(ACCOUNT, 0, refused(300), 10);
    book.onDidReceiveDecision(ACCOUNT, 5, granted(2), 20);
    expect(book.tryTake(ACCOUNT, 30).kind).toBe('taken');
    expect(book.tryTake(ACCOUNT, 30).kind).toBe('ask');
  });

  it('lets fewer counters be asked for a while', () => {
    const book = new HeldPermits();
    expect(book.tryTake(ACCOUNT, 0)).toMatchObject({further: 5});
    book.onDidReceiveDecision(ACCOUNT, 0, refused(300), 10);
    expect(book.tryTake(ACCOUNT, 400)).toMatchObject({further: 1});
    expect(book.tryTake(ACCOUNT, 2_000)).toMatchObject({further: 5});
  });
});

describe('a question', () => {
  it('goes on to as many counters as are worth asking', () => {
    const question = new PermitQuestion(1);
    question.onRefused(0, {kind: 'refused', retryAfterMs: 700});
    expect(question.mayGoOn).toBe(true);
    question.onRefused(10, {kind: 'refused', retryAfterMs: 300});
    expect(question.mayGoOn).toBe(false);
  });

  it('says the earliest time at which one of them has room', () => {
    const question = new PermitQuestion(5);
    expect(question.refusalAt(0)).toBeUndefined();
    question.onRefused(0, {kind: 'refused', retryAfterMs: 700});
    question.onRefused(10, {kind: 'refused', retryAfterMs: 300});
    const refusal = question.refusalAt(20);
    expect(refusal).toEqual({kind: 'refused', retryAfterMs: 290});
  });
});

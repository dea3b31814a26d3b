import {describe, expect, it} from 'vitest';
import {
  chooseSuccessor,
  type MemberLogState,
} from '../../common/choose_successor';

const answer = (
  instance: string,
  offset: number | undefined,
  more: Partial<MemberLogState> = {},
): MemberLogState => ({
  instance,
  draining: false,
  recovering: false,
  received: offset === undefined ? undefined : {term: 3, offset},
  ...more,
});

const silent = (instance: string) => answer(instance, undefined);

describe('the choice of an heir', () => {
  it('takes the replica that received the most', () => {
    const choice = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [answer('b', 7), answer('c', 9)],
    });
    expect(choice).toEqual({kind: 'promote', instance: 'c'});
  });

  it('waits for a replica that may hold the only copy of a commit', () => {
    // The primary dies together with replica c. A commit was acknowledged once
    // any one replica had it, so c may have it and b not. Promoting b now would
    // lose a lodgement that its caller was told is filed.
    const choice = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [answer('b', 7), silent('c')],
    });
    expect(choice).toEqual({kind: 'wait', reason: 'no proof by the logs of c'});
  });

  it('does without the others where one reached the end of the log', () => {
    const choice = chooseSuccessor({
      oldPrimary: answer('a', 9),
      replicas: [answer('b', 9), silent('c')],
    });
    expect(choice).toEqual({kind: 'promote', instance: 'b'});
  });

  it('takes no proof from one that started again without its log', () => {
    // Replica b confirmed a commit that c never got, starts again with an
    // empty log, and the primary is lost. Both answer, but the commit is only
    // where the primary is: promoting c would lose a booking.
    const choice = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [answer('b', 0, {recovering: true}), answer('c', 9)],
    });
    expect(choice).toEqual({
      kind: 'wait',
      reason: 'no proof by the logs of b',
    });
  });

  it('lets one lead that started again once it holds everything', () => {
    const choice = chooseSuccessor({
      oldPrimary: answer('a', 9),
      replicas: [answer('b', 9, {recovering: true}), silent('c')],
    });
    expect(choice).toEqual({kind: 'promote', instance: 'b'});
  });

  it('takes no end of the log from a primary that started again', () => {
    // The primary crashes and starts again empty before anyone notices. Its
    // log ends below what its replicas hold; the most of them must lead.
    const choice = chooseSuccessor({
      oldPrimary: answer('a', 0, {recovering: true}),
      replicas: [answer('b', 7), silent('c')],
    });
    expect(choice).toEqual({
      kind: 'wait',
      reason: 'no proof by the logs of c',
    });
  });

  it('compares terms before numbers', () => {
    const old = answer('b', 50, {received: {term: 2, offset: 50}});
    const choice = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [old, answer('c', 9)],
    });
    expect(choice).toEqual({kind: 'promote', instance: 'c'});
  });

  it('counts a leaving replica, and prefers one that stays', () => {
    const leaving = answer('b', 9, {draining: true});
    const equal = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [leaving, answer('c', 9)],
    });
    expect(equal).toEqual({kind: 'promote', instance: 'c'});
    const ahead = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [leaving, answer('c', 8)],
    });
    expect(ahead).toEqual({kind: 'promote', instance: 'b'});
  });

  it('never leaves out an acknowledged commit, in any small case', () => {
    // Every way in which three members can hold the first n of 3 commits, each
    // acknowledged once one replica had it; any of them may be silent.
    const holds = [undefined, 0, 1, 2, 3];
    for (const first of [0, 1, 2, 3]) {
      for (const second of [0, 1, 2, 3]) {
        const acknowledged = Math.max(first, second);
        for (const end of holds) {
          if (end !== undefined && end < acknowledged) continue;
          for (const [b, c] of silences(first, second)) {
            const choice = chooseSuccessor({
              oldPrimary: answer('a', end),
              replicas: [answer('b', b), answer('c', c)],
            });
            if (choice.kind === 'wait') continue;
            const held = choice.instance === 'b' ? first : second;
            expect(held).toBeGreaterThanOrEqual(acknowledged);
          }
        }
      }
    }
  });
});

function silences(b: number, c: number): (number | undefined)[][] {
  return [
    [b, c],
    [undefined, c],
    [b, undefined],
    [undefined, undefined],
  ];
}

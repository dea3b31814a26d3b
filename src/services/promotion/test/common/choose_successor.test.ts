import {describe, expect, it} from 'vitest';
import {
  chooseSuccessor,
  type MemberLogState,
} from '../../common/choose_successor';

const replied = (
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

const silent = (instance: string) => replied(instance, undefined);

describe('chooseSuccessor', () => {
  it('chooses the replica with the longest log', () => {
    const choice = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [replied('b', 7), replied('c', 9)],
    });
    expect(choice).toEqual({kind: 'promote', instance: 'c'});
  });

  it('waits for a replica that may hold the only copy of a commit', () => {
    // Guards against losing an acknowledged commit: the primary and replica c
    // fail together, and c may be the only replica that received it.
    const choice = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [replied('b', 7), silent('c')],
    });
    expect(choice).toEqual({kind: 'wait', reason: 'no complete log from c'});
  });

  it('chooses a replica that reached the end of the log without others', () => {
    const choice = chooseSuccessor({
      oldPrimary: replied('a', 9),
      replicas: [replied('b', 9), silent('c')],
    });
    expect(choice).toEqual({kind: 'promote', instance: 'b'});
  });

  it('waits where a replica was restarted without its log', () => {
    // Guards against losing a commit that only b had confirmed before it was
    // restarted with an empty log.
    const choice = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [replied('b', 0, {recovering: true}), replied('c', 9)],
    });
    expect(choice).toEqual({
      kind: 'wait',
      reason: 'no complete log from b',
    });
  });

  it('chooses a restarted replica once it has caught up', () => {
    const choice = chooseSuccessor({
      oldPrimary: replied('a', 9),
      replicas: [replied('b', 9, {recovering: true}), silent('c')],
    });
    expect(choice).toEqual({kind: 'promote', instance: 'b'});
  });

  it('ignores the end of the log of a restarted primary', () => {
    // Guards against losing commits when the primary is restarted with an empty
    // log: it ends before the logs of its replicas.
    const choice = chooseSuccessor({
      oldPrimary: replied('a', 0, {recovering: true}),
      replicas: [replied('b', 7), silent('c')],
    });
    expect(choice).toEqual({
      kind: 'wait',
      reason: 'no complete log from c',
    });
  });

  it('compares terms before offsets', () => {
    const old = replied('b', 50, {received: {term: 2, offset: 50}});
    const choice = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [old, replied('c', 9)],
    });
    expect(choice).toEqual({kind: 'promote', instance: 'c'});
  });

  it('prefers a replica that is not draining among equal logs', () => {
    const leaving = replied('b', 9, {draining: true});
    const equal = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [leaving, replied('c', 9)],
    });
    expect(equal).toEqual({kind: 'promote', instance: 'c'});
    const ahead = chooseSuccessor({
      oldPrimary: silent('a'),
      replicas: [leaving, replied('c', 8)],
    });
    expect(ahead).toEqual({kind: 'promote', instance: 'b'});
  });

  it('never loses an acknowledged commit in any case of three members', () => {
    // All combinations of logs with up to 3 commits and of silent members.
    // A commit is acknowledged once one replica has it.
    const holds = [undefined, 0, 1, 2, 3];
    for (const first of [0, 1, 2, 3]) {
      for (const second of [0, 1, 2, 3]) {
        const acknowledged = Math.max(first, second);
        for (const end of holds) {
          if (end !== undefined && end < acknowledged) continue;
          for (const [b, c] of withSilentReplicas(first, second)) {
            const choice = chooseSuccessor({
              oldPrimary: replied('a', end),
              replicas: [replied('b', b), replied('c', c)],
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

function withSilentReplicas(b: number, c: number): (number | undefined)[][] {
  return [
    [b, c],
    [undefined, c],
    [b, undefined],
    [undefined, undefined],
  ];
}

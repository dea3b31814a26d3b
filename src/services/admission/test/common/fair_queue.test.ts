import {describe, expect, it} from 'vitest';
import {callerName} from '../../../../base/common/ids';
import {FairQueue, type QueuedRequest} from '../../common/fair_queue';

interface Item extends QueuedRequest {
  readonly name: string;
}

function item(
  name: string,
  caller: string,
  priority = 5,
  deadline = 100,
  dueAt = Infinity,
): Item {
  return {name, caller: callerName(caller), priority, deadline, dueAt};
}

const NOW = 0;

function drain(queue: FairQueue<Item>, maxCount = Infinity): string[] {
  const served: string[] = [];
  queue.offer(NOW, ({name}) => {
    if (served.length >= maxCount) return 'stop';
    served.push(name);
    return 'taken';
  });
  return served;
}

describe('FairQueue', () => {
  // Without fairness, all callers would wait behind the flood of one.
  it('delays only the requests of the caller that floods it', () => {
    const queue = new FairQueue<Item>();
    for (let i = 0; i < 300; i++) queue.add(item(`flood${i}`, 'a'));
    queue.add(item('quiet', 'b'));
    expect(drain(queue, 2)).toEqual(['flood0', 'quiet']);
  });

  it('serves the lower priority number first', () => {
    const queue = new FairQueue<Item>();
    queue.add(item('review', 'a', 7));
    queue.add(item('release check', 'b', 1));
    expect(drain(queue)).toEqual(['release check', 'review']);
  });

  it('skips and keeps requests that cannot run yet', () => {
    const queue = new FairQueue<Item>();
    queue.add(item('write', 'a'));
    queue.add(item('read', 'a'));
    const taken: string[] = [];
    queue.offer(NOW, ({name}) => {
      if (name === 'write') return 'later';
      taken.push(name);
      return 'taken';
    });
    expect(taken).toEqual(['read']);
    expect(queue.size).toBe(1);
  });

  it('expires requests past their deadline', () => {
    const queue = new FairQueue<Item>();
    queue.add(item('late', 'a', 5, 50));
    queue.add(item('in time', 'a', 5, 150));
    expect(queue.expire(100).map(({name}) => name)).toEqual(['late']);
    expect(drain(queue)).toEqual(['in time']);
  });

  it('serves overdue requests last', () => {
    // After an outage, new requests would become overdue behind the overdue
    // ones.
    const queue = new FairQueue<Item>();
    queue.add(item('waited long', 'a', 1, 100, -5));
    queue.add(item('just came', 'b', 7, 100, 40));
    queue.add(item('no matter when', 'c', 8));
    expect(drain(queue)).toEqual([
      'just came',
      'no matter when',
      'waited long',
    ]);
  });

  it('counts the requests ahead of a new one', () => {
    const queue = new FairQueue<Item>();
    for (let i = 0; i < 10; i++) queue.add(item(`a${i}`, 'a'));
    queue.add(item('first', 'c', 1));
    expect(queue.countAhead(item('new', 'b'))).toBe(2);
    expect(queue.countAhead(item('more', 'a'))).toBe(11);
  });
});

describe('FairQueue with minimum shares', () => {
  function makeFullQueue(): FairQueue<Item> {
    const queue = new FairQueue<Item>();
    for (let i = 0; i < 100; i++) {
      queue.add(item(`urgent${i}`, `u${i}`, 0));
      queue.add(item(`middle${i}`, `m${i}`, 1));
      queue.add(item(`patient${i}`, `p${i}`, 2));
    }
    return queue;
  }

  it('gives each queued priority a tenth of the turns', () => {
    // Urgent requests alone exceed the capacity.
    const queue = makeFullQueue();
    queue.setMinShares(true);
    const served = drain(queue, 101);
    const countOf = (name: string) => {
      return served.filter(other => other.startsWith(name)).length;
    };
    expect(countOf('patient')).toBe(10);
    expect(countOf('middle')).toBe(10);
    expect(countOf('urgent')).toBe(81);
  });

  it('serves urgent requests first within a share', () => {
    const queue = makeFullQueue();
    queue.setMinShares(true);
    expect(drain(queue, 9).every(name => name.startsWith('urgent'))).toBe(true);
  });

  it('serves in strict priority order without minimum shares', () => {
    const served = drain(makeFullQueue(), 100);
    expect(served.every(name => name.startsWith('urgent'))).toBe(true);
  });

  it('passes on the share of a priority that cannot use it', () => {
    const queue = makeFullQueue();
    queue.setMinShares(true);
    const served: string[] = [];
    queue.offer(NOW, ({name, priority}) => {
      if (served.length >= 30) return 'stop';
      if (priority === 2) return 'later';
      served.push(name);
      return 'taken';
    });
    expect(served).toHaveLength(30);
  });
});

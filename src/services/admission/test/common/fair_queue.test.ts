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

function drain(queue: FairQueue<Item>, most = Infinity): string[] {
  const served: string[] = [];
  queue.offer(NOW, ({name}) => {
    if (served.length >= most) return 'stop';
    served.push(name);
    return 'taken';
  });
  return served;
}

describe('the fair queue', () => {
  // A practice sends hundreds of reviews at once. Another one's single filing
  // waits behind all of them if the queue is first come, first served.
  it('lets a flood of one caller wait behind itself only', () => {
    const queue = new FairQueue<Item>();
    for (let at = 0; at < 300; at++) queue.add(item(`flood${at}`, 'a'));
    queue.add(item('quiet', 'b'));
    expect(drain(queue, 2)).toEqual(['flood0', 'quiet']);
  });

  it('serves the lower priority number first', () => {
    const queue = new FairQueue<Item>();
    queue.add(item('review', 'a', 7));
    queue.add(item('release check', 'b', 1));
    expect(drain(queue)).toEqual(['release check', 'review']);
  });

  it('passes over what cannot run yet and keeps it', () => {
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

  it('gives up what is past its deadline', () => {
    const queue = new FairQueue<Item>();
    queue.add(item('late', 'a', 5, 50));
    queue.add(item('in time', 'a', 5, 150));
    expect(queue.expire(100).map(({name}) => name)).toEqual(['late']);
    expect(drain(queue)).toEqual(['in time']);
  });

  it('serves those first that can still be in time', () => {
    // A service was down for a second. All who waited stand in the queue, most
    // of them past what their callers expect. In the order of arrival those
    // who come now would be late as well, one after the other.
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

  it('counts what would be served before a request', () => {
    const queue = new FairQueue<Item>();
    for (let at = 0; at < 10; at++) queue.add(item(`a${at}`, 'a'));
    queue.add(item('first', 'c', 1));
    expect(queue.countAhead(item('new', 'b'))).toBe(2);
    expect(queue.countAhead(item('more', 'a'))).toBe(11);
  });
});

describe('a queue by class', () => {
  /** More waits than is ever served. */
  function makeCrowd(): FairQueue<Item> {
    const queue = new FairQueue<Item>();
    for (let at = 0; at < 100; at++) {
      queue.add(item(`urgent${at}`, `u${at}`, 0));
      queue.add(item(`middle${at}`, `m${at}`, 1));
      queue.add(item(`patient${at}`, `p${at}`, 2));
    }
    return queue;
  }

  it('gives each priority that waits a tenth of the places', () => {
    // Urgent work alone would fill the members. The patient kind goes on at
    // one place of ten, which is enough for some of it to be in time.
    const queue = makeCrowd();
    queue.setMinShares(true);
    const served = drain(queue, 101);
    const countOf = (name: string) => {
      return served.filter(other => other.startsWith(name)).length;
    };
    expect(countOf('patient')).toBe(10);
    expect(countOf('middle')).toBe(10);
    expect(countOf('urgent')).toBe(81);
  });

  it('gives nothing of that away while urgent work takes all in its turn', () => {
    const queue = makeCrowd();
    queue.setMinShares(true);
    expect(drain(queue, 9).every(name => name.startsWith('urgent'))).toBe(true);
  });

  it('is in strict order with the switch off', () => {
    const served = drain(makeCrowd(), 100);
    expect(served.every(name => name.startsWith('urgent'))).toBe(true);
  });

  it('passes a least part on where its priority cannot use the place', () => {
    const queue = makeCrowd();
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

import type {CallerName} from '../../../base/common/ids';
import {MinShares} from './min_shares';

/** A request that waits for its turn. */
export interface QueuedRequest {
  readonly caller: CallerName;
  /** 0 comes first. */
  readonly priority: number;
  /** On the monotonic clock, in milliseconds. */
  readonly deadline: number;
  /** When its caller expects the answer, on the same clock. */
  readonly dueAt: number;
}

type Verdict = 'taken' | 'later' | 'stop';

/**
 * Requests of one service in a fair order: first those that can still be
 * answered when their callers expect it, then by priority, then each caller in
 * turn, then first come first served. A caller that floods the queue waits
 * behind its own requests only.
 *
 * What is overdue goes last: after an outage everybody who waited stands here,
 * and served in the order of arrival each of them is late, and so is each one
 * that comes while they are served.
 *
 * By class, each priority that waits gets a least part of the places.
 */
export class FairQueue<T extends QueuedRequest> {
  /** By priority; inside, callers in the order in which their turn comes. */
  private readonly levels = new Map<number, Map<CallerName, T[]>>();
  private readonly parts = new MinShares();
  private isByClass = false;
  private count = 0;

  /** Whether each priority gets a least part; else the order is strict. */
  setMinShares(isByClass: boolean): void {
    if (isByClass === this.isByClass) return;
    this.isByClass = isByClass;
    this.parts.clear();
  }

  get size(): number {
    return this.count;
  }

  add(item: T): void {
    const level = this.levels.get(item.priority) ?? new Map();
    this.levels.set(item.priority, level);
    const own = level.get(item.caller) ?? [];
    own.push(item);
    level.set(item.caller, own);
    this.count++;
  }

  /** Takes one request out; false where it is not here. */
  remove(item: T): boolean {
    const level = this.levels.get(item.priority);
    const own = level?.get(item.caller);
    const at = own?.indexOf(item) ?? -1;
    if (!level || !own || at < 0) return false;
    own.splice(at, 1);
    this.count--;
    if (own.length === 0) level.delete(item.caller);
    return true;
  }

  /** How many requests that count would be served before one. */
  countAhead(
    {caller, priority}: Pick<QueuedRequest, 'caller' | 'priority'>,
    counts: (other: T) => boolean = () => true,
  ): number {
    if (this.count === 0) return 0;
    let ahead = 0;
    for (const [level, callers] of this.levels) {
      if (level > priority) continue;
      const own = callers.get(caller)?.filter(counts).length ?? 0;
      for (const items of callers.values()) {
        const all = level < priority;
        const length = items.filter(counts).length;
        ahead += all ? length : Math.min(length, own + 1);
      }
    }
    return ahead;
  }

  /** The priorities that wait, the most urgent first. */
  get priorities(): number[] {
    const waiting = [...this.levels].filter(([, callers]) => callers.size > 0);
    return waiting.map(([priority]) => priority).sort((a, b) => a - b);
  }

  /** All that waits, by priority, and inside by turns of the callers. */
  *inOrder(): Iterable<T> {
    for (const priority of this.priorities) {
      const callers = [...this.levels.get(priority)!.values()];
      const longest = Math.max(...callers.map(({length}) => length));
      for (let turn = 0; turn < longest; turn++) {
        for (const items of callers) {
          if (turn < items.length) yield items[turn]!;
        }
      }
    }
  }

  /**
   * Offers requests in fair order until `take` says to stop. A request that is
   * taken leaves the queue, and its caller goes to the end of the turn. What
   * was left for later is not offered again.
   */
  offer(now: number, take: (item: T) => Verdict): void {
    for (const isOverdue of [false, true]) {
      const takeDue = (item: T) => {
        return item.dueAt <= now === isOverdue ? take(item) : 'later';
      };
      if (!this.serveLevels(takeDue)) return;
    }
  }

  /** Takes out what is past its deadline. */
  expire(now: number): T[] {
    const expired: T[] = [];
    for (const callers of this.levels.values()) {
      for (const items of callers.values()) {
        expired.push(...items.filter(({deadline}) => deadline <= now));
      }
    }
    for (const item of expired) this.remove(item);
    return expired;
  }

  private serveLevels(take: (item: T) => Verdict): boolean {
    const passed = new Map(
      this.priorities.map(priority => [priority, new Map()]),
    );
    while (passed.size > 0) {
      const waiting = [...passed.keys()];
      const [priority] = this.isByClass ? this.parts.order(waiting) : waiting;
      const verdict = this.offerOne(priority!, passed.get(priority!)!, take);
      if (verdict === 'stop') return false;
      if (verdict === undefined) passed.delete(priority!);
      if (verdict === 'taken') this.notePlaced(priority!);
    }
    return true;
  }

  private notePlaced(priority: number): void {
    if (this.isByClass) this.parts.onServed(priority, this.priorities);
  }

  /** Offers requests of one priority until one is taken; undefined if none. */
  private offerOne(
    priority: number,
    passed: Map<CallerName, number>,
    take: (item: T) => Verdict,
  ): 'taken' | 'stop' | undefined {
    const level = this.levels.get(priority)!;
    for (;;) {
      const next = this.nextOf(level, passed);
      if (!next) return undefined;
      const [caller, item] = next;
      const verdict = take(item);
      if (verdict === 'stop') return 'stop';
      if (verdict === 'later') {
        passed.set(caller, (passed.get(caller) ?? 0) + 1);
        continue;
      }
      this.remove(item);
      const rest = level.get(caller);
      if (rest) {
        level.delete(caller);
        level.set(caller, rest);
      }
      return 'taken';
    }
  }

  private nextOf(
    level: Map<CallerName, T[]>,
    passed: Map<CallerName, number>,
  ): [CallerName, T] | undefined {
    for (const [caller, items] of level) {
      const item = items[passed.get(caller) ?? 0];
      if (item) return [caller, item];
    }
    return undefined;
  }
}

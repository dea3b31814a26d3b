import type {CallerName} from '../../../base/common/ids';

/** A request that waits for its turn. */
export interface Waiting {
  readonly caller: CallerName;
  /** 0 comes first. */
  readonly priority: number;
  /** On the monotonic clock, in milliseconds. */
  readonly deadline: number;
  /** When its caller expects the answer, on the same clock. */
  readonly dueAt: number;
}

/**
 * Requests of one service in a fair order: first those that can still be
 * answered when their callers expect it, then by priority, then each caller in
 * turn, then first come first served. A caller that floods the queue waits
 * behind its own requests only.
 *
 * What is overdue goes last: after an outage everybody who waited stands here,
 * and served in the order of arrival each of them is late, and so is each one
 * that comes while they are served.
 */
export class FairQueue<T extends Waiting> {
  /** By priority; inside, callers in the order in which their turn comes. */
  private readonly levels = new Map<number, Map<CallerName, T[]>>();
  private count = 0;

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
  aheadOf(
    {caller, priority}: Waiting,
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

  /**
   * Offers requests in fair order until `take` says to stop. A request that is
   * taken leaves the queue, and its caller goes to the end of the turn.
   */
  serve(now: number, take: (item: T) => 'taken' | 'later' | 'stop'): void {
    const priorities = [...this.levels.keys()].sort((a, b) => a - b);
    for (const isOverdue of [false, true]) {
      const takeDue = (item: T) => {
        return item.dueAt <= now === isOverdue ? take(item) : 'later';
      };
      for (const priority of priorities) {
        const level = this.levels.get(priority);
        if (level && !this.serveLevel(level, takeDue)) return;
      }
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

  private serveLevel(
    level: Map<CallerName, T[]>,
    take: (item: T) => 'taken' | 'later' | 'stop',
  ): boolean {
    const passed = new Map<CallerName, number>();
    for (;;) {
      const next = this.nextOf(level, passed);
      if (!next) return true;
      const [caller, item] = next;
      const verdict = take(item);
      if (verdict === 'stop') return false;
      if (verdict === 'later') {
        passed.set(caller, (passed.get(caller) ?? 0) + 1);
        continue;
      }
      this.remove(item);
      const rest = level.get(caller);
      if (!rest) continue;
      level.delete(caller);
      level.set(caller, rest);
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

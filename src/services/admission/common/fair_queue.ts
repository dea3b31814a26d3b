import type {CallerName} from '../../../base/common/ids';
import {MinShares} from './min_shares';

/** What the queue needs to know of a request. */
export interface QueuedRequest {
  readonly caller: CallerName;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** On the monotonic clock. */
  readonly deadline: number;
  /** When the caller expects the reply, on the same clock. */
  readonly dueAt: number;
}

type OfferResult = 'taken' | 'later' | 'stop';

/**
 * The queued requests of one service in a fair order: by priority, then round
 * robin over the callers, then first in, first out.
 *
 * Overdue requests come last; after an outage they would otherwise make later
 * requests overdue as well. With priority classes, each queued priority gets a
 * minimum share.
 */
export class FairQueue<T extends QueuedRequest> {
  /** By priority, then by caller in round-robin order. */
  private readonly callersByPriority = new Map<number, Map<CallerName, T[]>>();
  private readonly minShares = new MinShares();
  private hasMinShares = false;
  private count = 0;

  /** Sets whether each priority gets a minimum share; else it gets none. */
  setMinShares(hasMinShares: boolean): void {
    if (hasMinShares === this.hasMinShares) return;
    this.hasMinShares = hasMinShares;
    this.minShares.clear();
  }

  get size(): number {
    return this.count;
  }

  add(item: T): void {
    const callers = this.callersByPriority.get(item.priority) ?? new Map();
    this.callersByPriority.set(item.priority, callers);
    const items = callers.get(item.caller) ?? [];
    items.push(item);
    callers.set(item.caller, items);
    this.count++;
  }

  /** Removes a request; returns false if it is not queued. */
  remove(item: T): boolean {
    const callers = this.callersByPriority.get(item.priority);
    const items = callers?.get(item.caller);
    const index = items?.indexOf(item) ?? -1;
    if (!callers || !items || index < 0) return false;
    items.splice(index, 1);
    this.count--;
    if (items.length === 0) callers.delete(item.caller);
    return true;
  }

  /** Counts the matching requests that would be served before a new one. */
  countAhead(
    {caller, priority}: Pick<QueuedRequest, 'caller' | 'priority'>,
    matches: (other: T) => boolean = () => true,
  ): number {
    if (this.count === 0) return 0;
    let aheadCount = 0;
    for (const [queuedPriority, callers] of this.callersByPriority) {
      if (queuedPriority > priority) continue;
      const ownCount = callers.get(caller)?.filter(matches).length ?? 0;
      for (const items of callers.values()) {
        const precedesAll = queuedPriority < priority;
        const length = items.filter(matches).length;
        aheadCount += precedesAll ? length : Math.min(length, ownCount + 1);
      }
    }
    return aheadCount;
  }

  /** The queued priorities, the most urgent first. */
  get priorities(): number[] {
    const queued = [...this.callersByPriority].filter(
      ([, callers]) => callers.size > 0,
    );
    return queued.map(([priority]) => priority).sort((a, b) => a - b);
  }

  /** All queued requests by priority, then round robin over the callers. */
  *inOrder(): Iterable<T> {
    for (const priority of this.priorities) {
      const callers = [...this.callersByPriority.get(priority)!.values()];
      const longest = Math.max(...callers.map(({length}) => length));
      for (let turn = 0; turn < longest; turn++) {
        for (const items of callers) {
          if (turn < items.length) yield items[turn]!;
        }
      }
    }
  }

  /**
   * Offers requests in fair order until `take` returns 'stop'. A request that
   * is taken leaves the queue, and its caller becomes the last of its priority.
   * A request that is left for later is not offered again in this call.
   */
  offer(now: number, take: (item: T) => OfferResult): void {
    for (const isOverdue of [false, true]) {
      const takeIfDue = (item: T) => {
        return item.dueAt <= now === isOverdue ? take(item) : 'later';
      };
      if (!this.offerByPriority(takeIfDue)) return;
    }
  }

  /** Removes and returns the requests past their deadline. */
  expire(now: number): T[] {
    const expired: T[] = [];
    for (const callers of this.callersByPriority.values()) {
      for (const items of callers.values()) {
        expired.push(...items.filter(({deadline}) => deadline <= now));
      }
    }
    for (const item of expired) this.remove(item);
    return expired;
  }

  private offerByPriority(take: (item: T) => OfferResult): boolean {
    const skipped = new Map(
      this.priorities.map(priority => [priority, new Map()]),
    );
    while (skipped.size > 0) {
      const queued = [...skipped.keys()];
      const [priority] = this.hasMinShares
        ? this.minShares.order(queued)
        : queued;
      const result = this.offerNext(priority!, skipped.get(priority!)!, take);
      if (result === 'stop') return false;
      if (result === undefined) skipped.delete(priority!);
      if (result === 'taken') this.recordServed(priority!);
    }
    return true;
  }

  private recordServed(priority: number): void {
    if (this.hasMinShares) this.minShares.onServed(priority, this.priorities);
  }

  /** Offers requests of one priority until one is taken; undefined if none. */
  private offerNext(
    priority: number,
    skipped: Map<CallerName, number>,
    take: (item: T) => OfferResult,
  ): 'taken' | 'stop' | undefined {
    const callers = this.callersByPriority.get(priority)!;
    for (;;) {
      const next = this.findNext(callers, skipped);
      if (!next) return undefined;
      const [caller, item] = next;
      const result = take(item);
      if (result === 'stop') return 'stop';
      if (result === 'later') {
        skipped.set(caller, (skipped.get(caller) ?? 0) + 1);
        continue;
      }
      this.remove(item);
      const remaining = callers.get(caller);
      if (remaining) {
        callers.delete(caller);
        callers.set(caller, remaining);
      }
      return 'taken';
    }
  }

  private findNext(
    callers: Map<CallerName, T[]>,
    skipped: Map<CallerName, number>,
  ): [CallerName, T] | undefined {
    for (const [caller, items] of callers) {
      const item = items[skipped.get(caller) ?? 0];
      if (item) return [caller, item];
    }
    return undefined;
  }
}

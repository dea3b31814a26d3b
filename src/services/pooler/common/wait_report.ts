import type {WorkWait} from '../../../schema/generated/pooler';
import type {CheckoutWait} from '../../dispatch/common/checkout_request';

/** Shorter waits change nothing for who sends work, in milliseconds. */
const LEAST_TOLD_MS = 30;
/** Entries of one reply; a service has two needs and a few priorities. */
const MOST_ENTRIES = 6;

/**
 * What a pooler tells one proxy of the waits at a service: those that matter,
 * and once that they are over.
 */
export class WaitReport {
  /** Waits that the proxy counts with, by service. */
  private readonly told = new Map<string, readonly CheckoutWait[]>();

  /** What goes with the next reply. */
  nextEntries(service: string, waits: readonly CheckoutWait[]): WorkWait[] {
    const long = waits.filter(({waitMs}) => waitMs >= LEAST_TOLD_MS);
    const before = this.told.get(service) ?? [];
    if (long.length > 0) this.told.set(service, long);
    else this.told.delete(service);
    const over = before.filter(one => !long.some(other => isSame(one, other)));
    const entries = [...long, ...over.map(one => ({...one, waitMs: 0}))];
    return entries.slice(0, MOST_ENTRIES).map(one => {
      return {...one, service, waitMs: Math.round(one.waitMs)};
    });
  }
}

function isSame(one: CheckoutWait, other: CheckoutWait): boolean {
  const {needsPrimary, priority} = other;
  return one.needsPrimary === needsPrimary && one.priority === priority;
}

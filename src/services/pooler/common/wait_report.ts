import type {WorkWait} from '../../../schema/generated/pooler';
import type {CheckoutWait} from '../../dispatch/common/checkout_request';

/** Shorter waits make no difference to the selection of a pooler. */
const MIN_REPORTED_WAIT_MS = 30;
/** A service has two kinds of target and a few priorities. */
const MAX_ENTRIES = 6;

/**
 * The waits that a pooler reports to one proxy: every long wait, and a 0 once a
 * reported wait is over.
 */
export class WaitReport {
  /** The waits reported last, by service. */
  private readonly reported = new Map<string, readonly CheckoutWait[]>();

  /** The entries to attach to the next reply. */
  nextEntries(service: string, waits: readonly CheckoutWait[]): WorkWait[] {
    const longWaits = waits.filter(
      ({waitMs}) => waitMs >= MIN_REPORTED_WAIT_MS,
    );
    const previous = this.reported.get(service) ?? [];
    if (longWaits.length > 0) this.reported.set(service, longWaits);
    else this.reported.delete(service);
    const endedWaits = previous.filter(
      one => !longWaits.some(other => isSame(one, other)),
    );
    const entries = [
      ...longWaits,
      ...endedWaits.map(one => ({...one, waitMs: 0})),
    ];
    return entries.slice(0, MAX_ENTRIES).map(one => {
      return {...one, service, waitMs: Math.round(one.waitMs)};
    });
  }
}

function isSame(wait: CheckoutWait, other: CheckoutWait): boolean {
  const {needsPrimary, priority} = other;
  return wait.needsPrimary === needsPrimary && wait.priority === priority;
}

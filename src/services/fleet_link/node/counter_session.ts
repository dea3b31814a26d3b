import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import type {
  AccountShare,
  CounterEntry,
  FollowerHello,
  LeaderMessage,
  RenewLeases,
} from '../../../schema/generated/fleet';
import type {
  AllocationNotice,
  ShareAllocator,
} from '../../account/common/permit_counting';

/** Provides the counters and the allocator of account limits. */
export interface CounterSource {
  /** The counters, and former ones that may still hold shares. */
  counters(): readonly CounterEntry[];
  /** The allocator of this leadership. */
  shares(): ShareAllocator;
}

/**
 * The exchange of account usage and shares between the control leader and one
 * proxy.
 */
export class CounterSession {
  private instance = '';
  /** Shares that the proxy held when it connected. */
  private heldShares: readonly AccountShare[] = [];
  /** Since when the proxy has granted no operation. */
  private idleSince = Infinity;
  /**
   * The allocator that knows of this proxy; it changes with each leadership.
   */
  private registeredAllocator: ShareAllocator | undefined;
  private sentCounters: readonly CounterEntry[] | undefined;

  constructor(
    private readonly source: CounterSource,
    private readonly clock: Clock,
    private readonly write: (message: LeaderMessage) => void,
  ) {}

  onHello({instance, shares, counterIdleMs}: FollowerHello): void {
    this.instance = instance;
    this.heldShares = shares;
    this.idleSince = this.clock.now() - counterIdleMs;
  }

  /** Reports the usage that the proxy counted and sends it changed shares. */
  onReport({uses, sharesNumber}: RenewLeases): void {
    const {allocator, instance} = this;
    allocator.report(instance, uses, sharesNumber, this.clock.now());
    this.pushShares();
  }

  /**
   * A majority confirmed this leader after the renewal request of the proxy.
   */
  onRenewed(): void {
    this.allocator.renewLease(this.instance, this.clock.now());
  }

  /** Sends changed counters and shares. */
  push(): void {
    const counters = this.source.counters();
    if (this.sentCounters !== counters) {
      this.sentCounters = counters;
      const value = {counters: [...counters]};
      this.write({body: {$case: 'counters', value}});
    }
    this.pushShares();
  }

  private pushShares(): void {
    const {allocator, instance} = this;
    const value = allocator.takeChangedShares(instance, this.clock.now());
    if (value) this.write({body: {$case: 'shares', value}});
  }

  /**
   * The current allocator, after this proxy was registered there.
   *
   * Guard: a proxy that waited for an election may hold shares; a new leader
   * that does not know of them would allocate them twice.
   */
  private get allocator(): ShareAllocator {
    const allocator = this.source.shares();
    if (this.registeredAllocator !== allocator) {
      this.registeredAllocator = allocator;
      const {instance, heldShares, idleSince} = this;
      allocator.onDidAttach(instance, heldShares, idleSince, this.clock.now());
    }
    return allocator;
  }
}

/** Logs what an allocator decided since the last call. */
export function logLimitChanges(
  allocator: ShareAllocator,
  clock: Clock,
  log: Log,
): void {
  for (const notice of allocator.takeNotices()) logNotice(notice, log);
  for (const change of allocator.updateNearLimit(clock.now())) {
    const {account, isNearLimit, demand, rateLimit, counters} = change;
    const message = isNearLimit
      ? 'An account is over its limit.'
      : 'An account is below its limit.';
    const {perSecond, depth} = rateLimit;
    log.info(message, {account, demand, perSecond, depth, counters});
  }
}

function logNotice(notice: AllocationNotice, log: Log): void {
  switch (notice.kind) {
    case 'withholding': {
      const unattached = notice.unattached.join(' ');
      return log.info('Withholds shares of unknown counters.', {unattached});
    }
    case 'all known': {
      const {counters} = notice;
      return log.info('Knows the shares of all counters.', {counters});
    }
    case 'initial tokens': {
      const {idleMs, counters} = notice;
      const idle = Math.round(idleMs);
      return log.info('Adds tokens of an idle time.', {idle, counters});
    }
  }
}

import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import type {
  AccountShare,
  CounterEntry,
  FollowerHello,
  LeaderMessage,
  RenewLeases,
} from '../../../schema/generated/fleet';
import type {ShareAllocator} from '../../account/common/permit_counting';

/** Where limits of accounts are divided. */
export interface CounterSource {
  /** Who counts operations of accounts, or may still do so. */
  counters(): readonly CounterEntry[];
  /** Divides the limits of accounts, in this leadership. */
  shares(): ShareAllocator;
}

/** What the leader of control and one proxy tell each other about limits. */
export class CounterSession {
  private instance = '';
  /** The shares that the proxy held when it came. */
  private held: readonly AccountShare[] = [];
  /** Since when it has granted nothing. */
  private idleSince = Infinity;
  /** Who was told of it and of what it holds; another one a leadership. */
  private toldAllocator: ShareAllocator | undefined;
  private toldCounters: readonly CounterEntry[] | undefined;

  constructor(
    private readonly source: CounterSource,
    private readonly clock: Clock,
    private readonly write: (message: LeaderMessage) => void,
  ) {}

  onHello({instance, shares, counterIdleMs}: FollowerHello): void {
    this.instance = instance;
    this.held = shares;
    this.idleSince = this.clock.now() - counterIdleMs;
  }

  /** Takes what the proxy counted, and tells it what that changes for it. */
  onReport({uses, sharesNumber}: RenewLeases): void {
    const {allocator, instance} = this;
    allocator.report(instance, uses, sharesNumber, this.clock.now());
    this.pushShares();
  }

  /** A majority confirmed this leader after a question of the proxy. */
  onRenewed(): void {
    this.allocator.renewLease(this.instance, this.clock.now());
  }

  /** Sends what the proxy has not heard of yet. */
  push(): void {
    const counters = this.source.counters();
    if (this.toldCounters !== counters) {
      this.toldCounters = counters;
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
   * The one that divides limits, once it knows of the proxy. Guard: a proxy may
   * have waited here for an election with shares in force; the new leader would
   * give the same ones to others.
   */
  private get allocator(): ShareAllocator {
    const allocator = this.source.shares();
    if (this.toldAllocator !== allocator) {
      this.toldAllocator = allocator;
      const {instance, held, idleSince} = this;
      allocator.onDidAttach(instance, held, idleSince, this.clock.now());
    }
    return allocator;
  }
}

/** Logs which accounts came close to their limits, or have room again. */
export function logLimitChanges(
  allocator: ShareAllocator,
  clock: Clock,
  log: Log,
): void {
  for (const judgement of allocator.updateNearLimit(clock.now())) {
    const {account, isNearLimit, demand, rateLimit, counters} = judgement;
    const sentence = isNearLimit
      ? 'An account is over its limit.'
      : 'An account is below its limit.';
    const {perSecond, depth} = rateLimit;
    log.info(sentence, {account, demand, perSecond, depth, counters});
  }
}

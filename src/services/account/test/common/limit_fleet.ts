import type {SeededRandom} from '../../../../base/common/random';
import type {
  AccountEntry,
  CounterEntry,
} from '../../../../schema/generated/fleet';
import {SHARE_LEASE_MS} from '../../common/permit_counting';
import {AccountCounter} from '../../common/account_counter';
import {LimitAllocator} from '../../common/limit_allocator';
import {add, NO_SHARE} from '../../common/rate_limit_math';
import type {RateLimit} from '../../common/token_bucket';
import {Channel, type Timeline} from './limit_timeline';

const RENEWAL_INTERVAL_MS = 400;
const PUSH_INTERVAL_MS = 250;
/** The longest one-way delay between two sites. */
const MAX_DELAY_MS = 25;
const RECONNECT_INTERVAL_MS = 150;

/** The tolerance that deployments configure. */
export const PRECISION = {windowMs: 5_000, excess: 0.1, slack: 20};

/** One leader of control. */
export class Leader {
  readonly allocator: LimitAllocator;
  readonly attached = new Map<string, Stream>();
  /** Whether no majority confirms it any more. */
  isDeposed = false;

  constructor(startedAt: number, leaseMs: number) {
    this.allocator = new LimitAllocator(startedAt, PRECISION, leaseMs);
  }
}

/** A counter's connection to a leader. */
interface Stream {
  readonly leader: Leader;
  readonly up: Channel;
  readonly down: Channel;
}

/** A proxy that is a counter, and its stream to control. */
export class CountingNode {
  counter: AccountCounter;
  stream: Stream | undefined;
  /** Whether it is disconnected from control. */
  isOffline = false;
  leaseExpiresAt = -Infinity;
  /** Whether its process does not run. */
  isDown = false;
  /** When it will have worked on all messages that it received. */
  busyUntil = 0;

  constructor(
    readonly name: string,
    readonly region: number,
    private readonly fleet: CountingFleet,
  ) {
    this.counter = fleet.makeCounter();
  }

  extendLease(requestedAt: number): void {
    this.counter.extendLease(requestedAt);
    const expiresAt = requestedAt + this.fleet.leaseMs;
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, expiresAt);
  }

  /** Restarts the process without its state. */
  restart(downMs: number): void {
    this.detach();
    this.isDown = true;
    this.fleet.timeline.after(downMs, () => {
      this.counter = this.fleet.makeCounter();
      this.leaseExpiresAt = -Infinity;
      this.isDown = false;
    });
  }

  detach(): void {
    const {stream} = this;
    if (!stream) return;
    stream.up.isOpen = false;
    stream.down.isOpen = false;
    if (stream.leader.attached.get(this.name) === stream) {
      stream.leader.attached.delete(this.name);
    }
    this.stream = undefined;
    this.counter.onDidDetach();
  }
}

/** Counters, and the leaders of control that they attach to. */
export class CountingFleet {
  readonly nodes: CountingNode[] = [];
  leader: Leader | undefined;
  private readonly leaders: Leader[] = [];
  private accounts: AccountEntry[] = [];
  private entries: CounterEntry[] = [];
  private pushedAt = 0;

  constructor(
    readonly timeline: Timeline,
    private readonly random: SeededRandom,
    /** How long shares are valid without a confirmation by control. */
    readonly leaseMs = SHARE_LEASE_MS,
  ) {}

  makeCounter(): AccountCounter {
    const counter = new AccountCounter(this.timeline.clock, this.leaseMs);
    counter.setAccounts(this.accounts);
    return counter;
  }

  addNode(name: string, region: number): CountingNode {
    const node = new CountingNode(name, region, this);
    this.nodes.push(node);
    this.keepAttached(node);
    return node;
  }

  setAccounts(accounts: AccountEntry[]): void {
    this.accounts = accounts;
    this.leader?.allocator.setAccounts(accounts, this.timeline.now());
    for (const {counter} of this.nodes) counter.setAccounts(accounts);
  }

  /** Replaces the list of counters in the control log. */
  setCounters(
    active: readonly string[],
    retiring: readonly string[] = [],
  ): void {
    const entry = (instance: string, isRetiring: boolean) => {
      return {instance, address: '', site: '', retiring: isRetiring};
    };
    this.entries = [
      ...active.map(one => entry(one, false)),
      ...retiring.map(one => entry(one, true)),
    ];
    this.leader?.allocator.setCounters(this.entries, this.timeline.now());
  }

  /** Removes retiring counters that hold no share any more. */
  removeRetired(): void {
    const now = this.timeline.now();
    const kept = this.entries.filter(({instance, retiring}) => {
      return !retiring || !this.leader?.allocator.canRemove(instance, now);
    });
    if (kept.length === this.entries.length) return;
    this.entries = kept;
    this.leader?.allocator.setCounters(kept, now);
  }

  get retiring(): readonly string[] {
    const entries = this.entries.filter(({retiring}) => retiring);
    return entries.map(({instance}) => instance);
  }

  /** Counters that are not retiring. */
  get active(): readonly string[] {
    const active = this.entries.filter(({retiring}) => !retiring);
    return active.map(({instance}) => instance);
  }

  /** Deposes the leader, which learns of it after a random time. */
  loseLeader(): void {
    const {leader} = this;
    if (!leader) return;
    leader.isDeposed = true;
    this.leader = undefined;
    this.timeline.after(this.random.integer(1, 2_000), () => {
      this.leaders.splice(this.leaders.indexOf(leader), 1);
      for (const node of this.nodes) {
        if (node.stream?.leader === leader) node.detach();
      }
    });
  }

  electLeader(): void {
    this.loseLeader();
    const now = this.timeline.now();
    const leader = new Leader(now, this.leaseMs);
    leader.allocator.setAccounts(this.accounts, now);
    leader.allocator.setCounters(this.entries, now);
    this.leader = leader;
    this.leaders.push(leader);
  }

  step(): void {
    const now = this.timeline.now();
    if (now - this.pushedAt < PUSH_INTERVAL_MS) return;
    this.pushedAt = now;
    for (const leader of this.leaders) this.push(leader);
    this.removeRetired();
  }

  /** Returns the sum of the shares that counters apply, by account. */
  sharesInForce(): Map<string, RateLimit> {
    const now = this.timeline.now();
    const sums = new Map<string, RateLimit>();
    for (const {counter, isDown, leaseExpiresAt} of this.nodes) {
      if (isDown || now >= leaseExpiresAt) continue;
      for (const {account, ...share} of counter.heldShares) {
        sums.set(account, add(sums.get(account) ?? NO_SHARE, share));
      }
    }
    return sums;
  }

  private keepAttached(node: CountingNode): void {
    const retry = (delayMs: number) => {
      this.timeline.after(delayMs, () => this.keepAttached(node));
    };
    if (node.isDown || node.isOffline) return retry(RECONNECT_INTERVAL_MS);
    // Some counters stay attached to a deposed leader.
    const followed = node.stream?.leader;
    const isStale = followed !== this.leader && this.random.integer(0, 2) === 0;
    if (this.leader && (!followed || isStale)) this.attach(node, this.leader);
    if (!node.stream) return retry(RECONNECT_INTERVAL_MS);
    this.renew(node, node.stream);
    retry(RENEWAL_INTERVAL_MS);
  }

  private attach(node: CountingNode, leader: Leader): void {
    node.detach();
    const up = new Channel(this.timeline);
    const down = new Channel(this.timeline);
    const stream = {leader, up, down};
    node.stream = stream;
    const {heldShares} = node.counter;
    this.send(up, node, () => {
      leader.attached.set(node.name, stream);
      const now = this.timeline.now();
      const lastGrantAt = now - node.counter.idleMs;
      leader.allocator.onDidAttach(node.name, heldShares, lastGrantAt, now);
      this.sendShares(leader, node);
    });
  }

  private renew(node: CountingNode, {leader, up, down}: Stream): void {
    const {counter, name} = node;
    const uses = counter.takeReport();
    const {shareListNumber} = counter;
    const requestedAt = this.timeline.now();
    this.send(up, node, () => {
      leader.allocator.report(name, uses, shareListNumber, this.timeline.now());
      this.sendShares(leader, node);
      if (leader.isDeposed) return;
      this.timeline.after(this.random.integer(1, MAX_DELAY_MS), () => {
        if (leader.isDeposed || !up.isOpen) return;
        leader.allocator.renewLease(name, this.timeline.now());
        this.send(down, node, () => node.extendLease(requestedAt));
      });
    });
  }

  private push(leader: Leader): void {
    leader.allocator.updateNearLimit(this.timeline.now());
    for (const node of this.nodes) this.sendShares(leader, node);
  }

  private sendShares(leader: Leader, node: CountingNode): void {
    const stream = leader.attached.get(node.name);
    if (!stream) return;
    const shares = leader.allocator.takeChangedShares(
      node.name,
      this.timeline.now(),
    );
    const {counter} = node;
    if (shares) this.send(stream.down, node, () => counter.setShares(shares));
  }

  /** A message that a partition drops also ends the stream. */
  private send(
    channel: Channel,
    node: CountingNode,
    deliver: () => void,
  ): void {
    channel.send(this.random.integer(1, MAX_DELAY_MS), () => {
      if (node.isOffline) node.detach();
      else if (!node.isDown) deliver();
    });
  }
}

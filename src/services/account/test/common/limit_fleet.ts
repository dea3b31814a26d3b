import type {SeededRandom} from '../../../../base/common/random';
import type {
  AccountEntry,
  CounterEntry,
} from '../../../../schema/generated/fleet';
import {SHARE_LEASE_MS} from '../../common/permit_counting';
import {AccountCounter} from '../../common/account_counter';
import {LimitAllocator} from '../../common/limit_allocator';
import {NO_SHARE, plus} from '../../common/rate_limit_math';
import type {RateLimit} from '../../common/token_bucket';
import {Way, type Timeline} from './limit_timeline';

const RENEW_MS = 400;
const PUSH_MS = 250;
/** Ways between sites take up to 25 ms. */
const MOST_WAY_MS = 25;
/** A counter that lost its leader looks for another one so often. */
const SEEK_MS = 150;

/** As on the users' sheet. */
export const PRECISION = {windowMs: 5_000, excess: 0.1, slack: 20};

/** One leader of control. */
export class Leader {
  readonly allocator: LimitAllocator;
  readonly attached = new Map<string, Stream>();
  /** No majority confirms it any more. */
  isDeposed = false;

  constructor(since: number, leaseMs: number) {
    this.allocator = new LimitAllocator(since, PRECISION, leaseMs);
  }
}

/** A counter's connection to a leader. */
interface Stream {
  readonly leader: Leader;
  readonly up: Way;
  readonly down: Way;
}

/** A proxy that counts, and its words with control. */
export class CountingNode {
  counter: AccountCounter;
  stream: Stream | undefined;
  /** No word goes to or from control. */
  isCut = false;
  /** When its lease on its shares is over. */
  leasedUntil = -Infinity;
  /** It answers nobody. */
  isDown = false;

  constructor(
    readonly name: string,
    readonly region: number,
    private readonly fleet: CountingFleet,
  ) {
    this.counter = fleet.makeCounter();
  }

  extend(askedAt: number): void {
    this.counter.extendLease(askedAt);
    const until = askedAt + this.fleet.leaseMs;
    this.leasedUntil = Math.max(this.leasedUntil, until);
  }

  /** The process ends and starts again, and knows nothing. */
  restart(downMs: number): void {
    this.detach();
    this.isDown = true;
    this.fleet.timeline.after(downMs, () => {
      this.counter = this.fleet.makeCounter();
      this.leasedUntil = -Infinity;
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

/** Counters, and the leaders of control that they follow. */
export class CountingFleet {
  readonly nodes: CountingNode[] = [];
  leader: Leader | undefined;
  private readonly leaders: Leader[] = [];
  private accounts: AccountEntry[] = [];
  private list: CounterEntry[] = [];
  private pushedAt = 0;

  constructor(
    readonly timeline: Timeline,
    private readonly random: SeededRandom,
    /** How long shares hold without a word of control. */
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
    this.live(node);
    return node;
  }

  setAccounts(accounts: AccountEntry[]): void {
    this.accounts = accounts;
    this.leader?.allocator.setAccounts(accounts, this.timeline.now());
    for (const {counter} of this.nodes) counter.setAccounts(accounts);
  }

  /** Writes the list of counters to the control log. */
  name(list: readonly string[], retiring: readonly string[] = []): void {
    const entry = (instance: string, isRetiring: boolean) => {
      return {instance, address: '', site: '', retiring: isRetiring};
    };
    this.list = [
      ...list.map(one => entry(one, false)),
      ...retiring.map(one => entry(one, true)),
    ];
    this.leader?.allocator.setCounters(this.list, this.timeline.now());
  }

  /** Takes counters off the list that hold nothing any more. */
  dropFree(): void {
    const now = this.timeline.now();
    const kept = this.list.filter(({instance, retiring}) => {
      return !retiring || !this.leader?.allocator.canRemove(instance, now);
    });
    if (kept.length === this.list.length) return;
    this.list = kept;
    this.leader?.allocator.setCounters(kept, now);
  }

  get retiring(): readonly string[] {
    const entries = this.list.filter(({retiring}) => retiring);
    return entries.map(({instance}) => instance);
  }

  /** Counters that proxies ask. */
  get named(): readonly string[] {
    const named = this.list.filter(({retiring}) => !retiring);
    return named.map(({instance}) => instance);
  }

  /** Control has no leader; the deposed one does not know it at once. */
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
    leader.allocator.setCounters(this.list, now);
    this.leader = leader;
    this.leaders.push(leader);
  }

  step(): void {
    const now = this.timeline.now();
    if (now - this.pushedAt < PUSH_MS) return;
    this.pushedAt = now;
    for (const leader of this.leaders) this.push(leader);
    this.dropFree();
  }

  /** What all counters may run together now, by account. */
  heldNow(): Map<string, RateLimit> {
    const now = this.timeline.now();
    const sums = new Map<string, RateLimit>();
    for (const {counter, isDown, leasedUntil} of this.nodes) {
      if (isDown || now >= leasedUntil) continue;
      for (const {account, ...share} of counter.heldShares) {
        sums.set(account, plus(sums.get(account) ?? NO_SHARE, share));
      }
    }
    return sums;
  }

  private live(node: CountingNode): void {
    const again = (delayMs: number) => {
      this.timeline.after(delayMs, () => this.live(node));
    };
    if (node.isDown || node.isCut) return again(SEEK_MS);
    // Those who follow a deposed leader stay for as long as it does not know.
    const followed = node.stream?.leader;
    const isStale = followed !== this.leader && this.random.integer(0, 2) === 0;
    if (this.leader && (!followed || isStale)) this.attach(node, this.leader);
    if (!node.stream) return again(SEEK_MS);
    this.renew(node, node.stream);
    again(RENEW_MS);
  }

  private attach(node: CountingNode, leader: Leader): void {
    node.detach();
    const up = new Way(this.timeline);
    const down = new Way(this.timeline);
    const stream = {leader, up, down};
    node.stream = stream;
    const {heldShares: held} = node.counter;
    this.send(up, node, () => {
      leader.attached.set(node.name, stream);
      const now = this.timeline.now();
      const idleSince = now - node.counter.idleMs;
      leader.allocator.onDidAttach(node.name, held, idleSince, now);
      this.tell(leader, node);
    });
  }

  private renew(node: CountingNode, {leader, up, down}: Stream): void {
    const {counter, name} = node;
    const uses = counter.takeReport();
    const {shareListNumber: sharesNumber} = counter;
    const askedAt = this.timeline.now();
    this.send(up, node, () => {
      leader.allocator.report(name, uses, sharesNumber, this.timeline.now());
      this.tell(leader, node);
      if (leader.isDeposed) return;
      this.timeline.after(this.random.integer(1, MOST_WAY_MS), () => {
        if (leader.isDeposed || !up.isOpen) return;
        leader.allocator.renewLease(name, this.timeline.now());
        this.send(down, node, () => node.extend(askedAt));
      });
    });
  }

  private push(leader: Leader): void {
    leader.allocator.updateNearLimit(this.timeline.now());
    for (const node of this.nodes) this.tell(leader, node);
  }

  private tell(leader: Leader, node: CountingNode): void {
    const stream = leader.attached.get(node.name);
    if (!stream) return;
    const shares = leader.allocator.takeChangedShares(
      node.name,
      this.timeline.now(),
    );
    const {counter} = node;
    if (shares) this.send(stream.down, node, () => counter.setShares(shares));
  }

  /** A cut holds messages up for good; the connection ends later. */
  private send(way: Way, node: CountingNode, deliver: () => void): void {
    way.send(this.random.integer(1, MOST_WAY_MS), () => {
      if (node.isCut) node.detach();
      else if (!node.isDown) deliver();
    });
  }
}

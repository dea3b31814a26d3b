import type {Clock} from '../../../../base/common/clock';
import type {SeededRandom} from '../../../../base/common/random';
import type {PrimaryAssignment} from '../../../../schema/generated/fleet';
import {PublishedPrimaries} from '../../common/published_primaries';
import {PrimaryLeases, RENEWAL_INTERVAL_MS} from '../../common/primary_leases';
import {LeaseHolders} from '../../common/lease_holders';
import {makeAssignment} from './lease_fixture';

const SERVICE = 'books';
const PROXIES = 4;
const MOST_DELAY_MS = 400;
/** Clocks of machines run apart by this part at most. */
const DRIFT = 0.001;

/** A proxy on a clock of its own; frozen ones handle nothing for a while. */
class Proxy {
  readonly leases: PrimaryLeases;
  follows: Leader | undefined;
  frozenUntil = 0;
  nextAsk = 0;
  /** Increases with each stream to a leader. */
  stream = 0;

  constructor(
    readonly name: string,
    clock: Clock,
  ) {
    this.leases = new PrimaryLeases(clock);
  }
}

/** An instance of control that leads, or believes that it still does. */
class Leader {
  readonly board = new PublishedPrimaries();
  readonly holders: LeaseHolders;
  readonly told = new Map<Proxy, number>();
  isReplacing = false;

  constructor(
    since: number,
    readonly number: number,
  ) {
    this.holders = new LeaseHolders(since);
  }
}

interface Message {
  readonly at: number;
  run(): void;
}

/**
 * Proxies and one leader of control after the other, joined by messages that
 * are late. Streams end at any moment. Time goes in steps; nothing has a socket or a timer.
 */
export class LeaseSimulation {
  now = 0;
  readonly faults: string[] = [];
  orders = 0;
  /** Times at which some proxy held a lease. */
  held = 0;
  /** The lead that a majority of the control log holds. */
  private lead: PrimaryAssignment = makeAssignment('m0', 1);
  private leader: Leader;
  private readonly leaders: Leader[] = [];
  private readonly proxies: Proxy[];
  private messages: Message[] = [];

  constructor(private readonly random: SeededRandom) {
    this.proxies = Array.from({length: PROXIES}, (...[, at]) => {
      const pace = 1 + (random.fraction() * 2 - 1) * DRIFT;
      const offset = random.integer(0, 1_000_000);
      return new Proxy(`p${at}`, {now: () => offset + this.now * pace});
    });
    this.leader = this.elect();
  }

  step(): void {
    this.now += this.random.integer(1, 20);
    this.disturb();
    this.deliver();
    for (const proxy of this.proxies) this.tickProxy(proxy);
    for (const leader of this.leaders) this.tickLeader(leader);
    this.check();
  }

  private elect(): Leader {
    const leader = new Leader(this.now, this.leaders.length);
    leader.board.offer(this.lead);
    this.leaders.push(leader);
    this.leader = leader;
    return leader;
  }

  private disturb(): void {
    const {random} = this;
    if (random.integer(0, 299) === 0) this.elect();
    if (random.integer(0, 99) === 0) {
      const proxy = random.pick(this.proxies);
      proxy.frozenUntil = this.now + random.integer(0, 3_000);
    }
    if (random.integer(0, 49) === 0) this.attach(random.pick(this.proxies));
    if (random.integer(0, 99) === 0) this.leader.isReplacing = true;
  }

  /** Moves a proxy to some leader, of the past or the present, or to none. */
  private attach(proxy: Proxy): void {
    proxy.leases.onDidDetach();
    proxy.stream++;
    const isLost = this.random.integer(0, 3) === 0;
    proxy.follows = isLost ? undefined : this.random.pick(this.leaders);
    proxy.follows?.told.set(proxy, 0);
  }

  /** Messages of one pair keep their order, as on a stream. */
  private send(from: Proxy | Leader, run: () => void): void {
    const delay = this.random.integer(0, MOST_DELAY_MS);
    const last = this.lastAt.get(from) ?? 0;
    const at = Math.max(last, this.now + delay);
    this.lastAt.set(from, at);
    this.messages.push({at, run});
  }

  private readonly lastAt = new Map<Proxy | Leader, number>();

  private deliver(): void {
    const due = this.messages.filter(({at}) => at <= this.now);
    this.messages = this.messages.filter(({at}) => at > this.now);
    for (const {run} of due.sort((a, b) => a.at - b.at)) run();
  }

  /** What reaches a frozen proxy waits for it; a stream that ends is lost. */
  private toProxy(proxy: Proxy, leader: Leader, run: () => void): void {
    const {stream} = proxy;
    const arrive = () => {
      if (proxy.stream !== stream) return;
      if (this.now < proxy.frozenUntil) {
        this.messages.push({at: proxy.frozenUntil, run: arrive});
      } else {
        run();
      }
    };
    this.send(leader, arrive);
  }

  private tickProxy(proxy: Proxy): void {
    const {follows} = proxy;
    if (!follows || this.now < proxy.frozenUntil) return;
    if (this.now < proxy.nextAsk) return;
    proxy.nextAsk = this.now + RENEWAL_INTERVAL_MS;
    const number = proxy.leases.beginRenewal();
    this.send(proxy, () => this.onAsk(follows, proxy, number));
  }

  private onAsk(leader: Leader, proxy: Proxy, number: number): void {
    if (!leader.told.has(proxy)) return;
    const confirmMs = this.random.integer(5, 200);
    this.messages.push({
      at: this.now + confirmMs,
      run: () => {
        // Only the one that a majority follows is confirmed.
        if (leader !== this.leader) return;
        leader.holders.onRenewed(proxy.name, this.now);
        this.toProxy(proxy, leader, () => proxy.leases.onRenewed(number));
      },
    });
  }

  private tickLeader(leader: Leader): void {
    for (const [proxy, revision] of leader.told) {
      const leads = leader.board.changedSince(revision);
      if (leads.length === 0) continue;
      leader.told.set(proxy, leader.board.revision);
      this.toProxy(proxy, leader, () => {
        for (const {service, epoch} of proxy.leases.onAssignments(leads)) {
          this.send(proxy, () => {
            leader.holders.onReturned(proxy.name, service, epoch);
          });
        }
      });
    }
    if (leader.isReplacing) this.replace(leader);
  }

  private replace(leader: Leader): void {
    leader.board.revoke(SERVICE);
    const epoch = leader.board.epochOf(SERVICE);
    const relying = leader.holders.holdersOf(SERVICE, epoch, this.now);
    // A decision is in the log only once a majority has it.
    if (relying.length > 0 || leader !== this.leader) return;
    leader.isReplacing = false;
    this.orders++;
    this.lead = makeAssignment(`m${this.orders}`, this.lead.epoch + 1);
    leader.board.offer(this.lead);
  }

  private check(): void {
    for (const {name, leases} of this.proxies) {
      const {epoch} = this.lead;
      if (leases.isHeld(SERVICE, epoch)) this.held++;
      for (let old = 1; old < epoch; old++) {
        if (!leases.isHeld(SERVICE, old)) continue;
        this.faults.push(`${this.now}: ${name} holds ${old}, ${epoch} leads`);
      }
    }
  }
}

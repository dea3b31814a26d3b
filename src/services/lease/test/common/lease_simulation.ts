import type {Clock} from '../../../../base/common/clock';
import type {SeededRandom} from '../../../../base/common/random';
import type {PrimaryAssignment} from '../../../../schema/generated/fleet';
import {PublishedPrimaries} from '../../common/published_primaries';
import {PrimaryLeases, RENEWAL_INTERVAL_MS} from '../../common/primary_leases';
import {LeaseHolders} from '../../common/lease_holders';
import {makeAssignment} from './lease_fixture';

const SERVICE = 'books';
const PROXY_COUNT = 4;
const MAX_DELAY_MS = 400;
const MAX_CLOCK_DRIFT_FRACTION = 0.001;

/** A proxy with its own clock; it handles nothing while it is frozen. */
class Proxy {
  readonly leases: PrimaryLeases;
  leader: Leader | undefined;
  frozenUntil = 0;
  nextRenewalAt = 0;
  /** Increases with each stream to a leader. */
  stream = 0;

  constructor(
    readonly name: string,
    clock: Clock,
  ) {
    this.leases = new PrimaryLeases(clock);
  }
}

/** A control instance that is the leader, or still believes so. */
class Leader {
  readonly primaries = new PublishedPrimaries();
  readonly holders: LeaseHolders;
  readonly sentRevisions = new Map<Proxy, number>();
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
 * Simulates proxies and successive control leaders with delayed messages and
 * streams that end at any moment. Time advances in steps, without timers.
 */
export class LeaseSimulation {
  now = 0;
  readonly violations: string[] = [];
  promotionCount = 0;
  /** How often a check found a proxy with a lease on the current epoch. */
  heldCount = 0;
  /** The committed assignment. */
  private assignment: PrimaryAssignment = makeAssignment('m0', 1);
  private leader: Leader;
  private readonly leaders: Leader[] = [];
  private readonly proxies: Proxy[];
  private messages: Message[] = [];

  constructor(private readonly random: SeededRandom) {
    this.proxies = Array.from({length: PROXY_COUNT}, (...[, at]) => {
      const pace = 1 + (random.fraction() * 2 - 1) * MAX_CLOCK_DRIFT_FRACTION;
      const offset = random.integer(0, 1_000_000);
      return new Proxy(`p${at}`, {now: () => offset + this.now * pace});
    });
    this.leader = this.elect();
  }

  step(): void {
    this.now += this.random.integer(1, 20);
    this.injectFaults();
    this.deliver();
    for (const proxy of this.proxies) this.tickProxy(proxy);
    for (const leader of this.leaders) this.tickLeader(leader);
    this.check();
  }

  private elect(): Leader {
    const leader = new Leader(this.now, this.leaders.length);
    leader.primaries.offer(this.assignment);
    this.leaders.push(leader);
    this.leader = leader;
    return leader;
  }

  private injectFaults(): void {
    const {random} = this;
    if (random.integer(0, 299) === 0) this.elect();
    if (random.integer(0, 99) === 0) {
      const proxy = random.pick(this.proxies);
      proxy.frozenUntil = this.now + random.integer(0, 3_000);
    }
    if (random.integer(0, 49) === 0) this.attach(random.pick(this.proxies));
    if (random.integer(0, 99) === 0) this.leader.isReplacing = true;
  }

  /** Attaches a proxy to a random leader, old or current, or to none. */
  private attach(proxy: Proxy): void {
    proxy.leases.onDidDetach();
    proxy.stream++;
    const isDetached = this.random.integer(0, 3) === 0;
    proxy.leader = isDetached ? undefined : this.random.pick(this.leaders);
    proxy.leader?.sentRevisions.set(proxy, 0);
  }

  /** Messages of one sender keep their order, as on a stream. */
  private send(from: Proxy | Leader, run: () => void): void {
    const delay = this.random.integer(0, MAX_DELAY_MS);
    const last = this.lastDeliveryAt.get(from) ?? 0;
    const at = Math.max(last, this.now + delay);
    this.lastDeliveryAt.set(from, at);
    this.messages.push({at, run});
  }

  private readonly lastDeliveryAt = new Map<Proxy | Leader, number>();

  private deliver(): void {
    const due = this.messages.filter(({at}) => at <= this.now);
    this.messages = this.messages.filter(({at}) => at > this.now);
    for (const {run} of due.sort((a, b) => a.at - b.at)) run();
  }

  /** Messages to a frozen proxy wait; those of an ended stream are lost. */
  private sendToProxy(proxy: Proxy, leader: Leader, run: () => void): void {
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
    const {leader} = proxy;
    if (!leader || this.now < proxy.frozenUntil) return;
    if (this.now < proxy.nextRenewalAt) return;
    proxy.nextRenewalAt = this.now + RENEWAL_INTERVAL_MS;
    const number = proxy.leases.beginRenewal();
    this.send(proxy, () => this.onRequest(leader, proxy, number));
  }

  private onRequest(leader: Leader, proxy: Proxy, number: number): void {
    if (!leader.sentRevisions.has(proxy)) return;
    const confirmMs = this.random.integer(5, 200);
    this.messages.push({
      at: this.now + confirmMs,
      run: () => {
        // A majority only confirms the current leader.
        if (leader !== this.leader) return;
        leader.holders.onRenewed(proxy.name, this.now);
        this.sendToProxy(proxy, leader, () => proxy.leases.onRenewed(number));
      },
    });
  }

  private tickLeader(leader: Leader): void {
    for (const [proxy, revision] of leader.sentRevisions) {
      const assignments = leader.primaries.changedSince(revision);
      if (assignments.length === 0) continue;
      leader.sentRevisions.set(proxy, leader.primaries.revision);
      this.sendToProxy(proxy, leader, () => {
        for (const {service, epoch} of proxy.leases.onAssignments(
          assignments,
        )) {
          this.send(proxy, () => {
            leader.holders.onReturned(proxy.name, service, epoch);
          });
        }
      });
    }
    if (leader.isReplacing) this.replace(leader);
  }

  private replace(leader: Leader): void {
    leader.primaries.revoke(SERVICE);
    const epoch = leader.primaries.epochOf(SERVICE);
    const leaseHolders = leader.holders.holdersOf(SERVICE, epoch, this.now);
    // Only the current leader can commit a decision.
    if (leaseHolders.length > 0 || leader !== this.leader) return;
    leader.isReplacing = false;
    this.promotionCount++;
    this.assignment = makeAssignment(
      `m${this.promotionCount}`,
      this.assignment.epoch + 1,
    );
    leader.primaries.offer(this.assignment);
  }

  private check(): void {
    for (const {name, leases} of this.proxies) {
      const {epoch} = this.assignment;
      if (leases.isHeld(SERVICE, epoch)) this.heldCount++;
      for (let old = 1; old < epoch; old++) {
        if (!leases.isHeld(SERVICE, old)) continue;
        this.violations.push(
          `${this.now}: ${name} holds ${old}, ${epoch} is current`,
        );
      }
    }
  }
}

import {ManualClock} from '../../../../base/common/clock';
import {ConnectionQuota} from '../../common/connection_quota';
import {ConnectionAllocator} from '../../common/connection_allocator';
import type {AllocatedService} from '../../common/allocated_services';

/** The service and the member of these tests. */
export const BOOKS = 'books';
export const MEMBER = 'm1';
const REQUEST_INTERVAL_MS = 400;

interface Message {
  readonly at: number;
  readonly epoch: number;
  deliver(): void;
}

/** A pooler that uses the member, connected to control with a delay. */
export class TestPooler {
  readonly quota: ConnectionQuota;
  /** Connections that are open. */
  open = 0;
  /** Connections that its operations need. */
  wanted = 0;
  isAlive = true;
  /** Whether messages to and from control are lost. */
  isCutOff = false;
  /** Whether operations keep connections beyond a lowered grant. */
  keepsOpen = false;
  /** Numbers its streams; messages of an ended one are lost. */
  epoch = 0;
  readonly inFlight: Message[] = [];
  dueAt = 0;

  constructor(
    readonly name: string,
    readonly clock: ManualClock,
  ) {
    this.quota = new ConnectionQuota(clock);
  }

  get limit(): number {
    // Connections without a grant are not part of what control divides.
    return this.quota.limitOf(BOOKS, MEMBER, 0) ?? 0;
  }

  get isGranted(): boolean {
    return this.isAlive && this.granted !== undefined;
  }

  private get granted(): number | undefined {
    const view = this.quota.views[0];
    return view && view.granted > 0 ? view.granted : undefined;
  }

  work(): void {
    const limit = this.isGranted ? this.limit : 0;
    if (this.open > limit && !this.keepsOpen) this.open = limit;
    if (this.open < limit) this.open = Math.min(limit, this.wanted);
    const use = {open: this.open, wanted: this.wanted};
    if (this.quota.isReportRequested) this.quota.updateUse(BOOKS, MEMBER, use);
  }
}

/** The poolers of one member, and the leader of control. */
export class TestFleet {
  readonly clock = new ManualClock();
  readonly poolers: TestPooler[] = [];
  readonly listed = new Set<string>();
  leader: ConnectionAllocator;
  delayMs = (): number => 20;

  constructor(
    readonly maxOpen: number,
    count: number,
  ) {
    this.clock.advance(100_000);
    this.leader = new ConnectionAllocator(this.clock.now());
    for (let at = 0; at < count; at++) this.join();
  }

  join(): TestPooler {
    const pooler = new TestPooler(`p${this.poolers.length}`, this.clock);
    this.poolers.push(pooler);
    this.listed.add(pooler.name);
    pooler.quota.onDidAttach();
    this.publishServices();
    return pooler;
  }

  kill(pooler: TestPooler): void {
    pooler.isAlive = false;
    pooler.open = 0;
    pooler.epoch++;
    this.leader.detach(pooler.name);
  }

  /** Elects another leader, to which all poolers attach. */
  elect(): void {
    this.leader = new ConnectionAllocator(this.clock.now());
    this.publishServices();
    for (const pooler of this.poolers) {
      pooler.epoch++;
      pooler.quota.onDidAttach();
    }
  }

  publishServices(): void {
    const service: AllocatedService = {
      usableConnections: this.maxOpen,
      members: [MEMBER],
      poolers: new Set(this.listed),
    };
    this.leader.setServices(new Map([[BOOKS, service]]));
  }

  /** Advances the clock in steps of 10 ms. */
  run(ms: number, check: () => void = () => {}): void {
    for (let elapsed = 0; elapsed < ms; elapsed += 10) {
      this.clock.advance(10);
      for (const pooler of this.poolers) this.step(pooler);
      this.sendGrants();
      check();
    }
  }

  get totalOpen(): number {
    return this.poolers.reduce((sum, {open}) => sum + open, 0);
  }

  private step(pooler: TestPooler): void {
    const now = this.clock.now();
    const due = pooler.inFlight.filter(({at}) => at <= now);
    pooler.inFlight.splice(0, due.length);
    for (const {epoch, deliver} of due) {
      if (epoch === pooler.epoch && !pooler.isCutOff) deliver();
    }
    if (!pooler.isAlive) return;
    pooler.work();
    if (pooler.quota.isReportUrgent || now >= pooler.dueAt) {
      this.renew(pooler);
    }
  }

  private renew(pooler: TestPooler): void {
    const {leader} = this;
    const requestedAt = this.clock.now();
    pooler.dueAt = requestedAt + REQUEST_INTERVAL_MS;
    const report = pooler.quota.takeReport();
    this.send(pooler, () => {
      leader.report(pooler.name, report, this.clock.now());
      this.send(pooler, () => pooler.quota.extendLease(requestedAt));
    });
  }

  /** Sends the lists of grants, as control does after each report. */
  private sendGrants(): void {
    const present = this.poolers.filter(({isAlive}) => isAlive);
    const names = present.map(({name}) => name);
    for (const list of this.leader.allocate(names, this.clock.now())) {
      const pooler = this.poolers.find(({name}) => name === list.pooler)!;
      this.send(pooler, () => pooler.quota.setGrants(list.value));
    }
  }

  /** Messages of a stream arrive in the order of sending. */
  private send(pooler: TestPooler, deliver: () => void): void {
    const {epoch} = pooler;
    const last = pooler.inFlight.at(-1)?.at ?? 0;
    const at = Math.max(last, this.clock.now() + this.delayMs());
    pooler.inFlight.push({at, epoch, deliver});
  }
}

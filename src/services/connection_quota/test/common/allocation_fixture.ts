import {ManualClock} from '../../../../base/common/clock';
import {ConnectionQuota} from '../../../connection_quota/common/connection_quota';
import {ConnectionAllocator} from '../../../connection_quota/common/connection_allocator';
import type {AllocatedService} from '../../../connection_quota/common/allocated_services';

/** The one service and member of these tests. */
export const SERVICE = 'books';
export const MEMBER = 'm1';
const QUESTION_MS = 400;

interface Sent {
  readonly at: number;
  readonly epoch: number;
  act(): void;
}

/** A proxy with work for the member, behind a way to control. */
export class TestPooler {
  readonly room: ConnectionQuota;
  /** Connections that are open. */
  open = 0;
  /** What its work would keep busy. */
  wants = 0;
  isAlive = true;
  /** Its questions and control's words are lost. */
  isCutOff = false;
  /** Work goes on on connections that it should give back. */
  isHolding = false;
  /** Counts the streams, so that what an ended one carries is lost. */
  epoch = 0;
  readonly sent: Sent[] = [];
  nextQuestionAt = 0;

  constructor(
    readonly name: string,
    readonly clock: ManualClock,
  ) {
    this.room = new ConnectionQuota(clock);
  }

  get limit(): number {
    // What it may have without a grant is no matter of control's sums.
    return this.room.limitOf(SERVICE, MEMBER, 0) ?? 0;
  }

  get isGranted(): boolean {
    return this.isAlive && this.granted !== undefined;
  }

  private get granted(): number | undefined {
    const view = this.room.views[0];
    return view && view.granted > 0 ? view.granted : undefined;
  }

  work(): void {
    const limit = this.isGranted ? this.limit : 0;
    if (this.open > limit && !this.isHolding) this.open = limit;
    if (this.open < limit) this.open = Math.min(limit, this.wants);
    const use = {open: this.open, wanted: this.wants};
    if (this.room.isReportRequested) this.room.updateUse(SERVICE, MEMBER, use);
  }
}

/** Poolers before one member, and the leader of control that they follow. */
export class TestFleet {
  readonly clock = new ManualClock();
  readonly poolers: TestPooler[] = [];
  readonly listed = new Set<string>();
  leader: ConnectionAllocator;
  wayMs = (): number => 20;

  constructor(
    readonly shared: number,
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
    pooler.room.onDidAttach();
    this.tellServices();
    return pooler;
  }

  kill(pooler: TestPooler): void {
    pooler.isAlive = false;
    pooler.open = 0;
    pooler.epoch++;
    this.leader.detach(pooler.name);
  }

  /** Another instance of control leads from now on. */
  elect(): void {
    this.leader = new ConnectionAllocator(this.clock.now());
    this.tellServices();
    for (const pooler of this.poolers) {
      pooler.epoch++;
      pooler.room.onDidAttach();
    }
  }

  tellServices(): void {
    const service: AllocatedService = {
      shared: this.shared,
      members: [MEMBER],
      poolers: new Set(this.listed),
    };
    this.leader.setServices(new Map([[SERVICE, service]]));
  }

  /** Lets time pass, 10 ms at a time. */
  run(ms: number, check: () => void = () => {}): void {
    for (let passed = 0; passed < ms; passed += 10) {
      this.clock.advance(10);
      for (const pooler of this.poolers) this.step(pooler);
      this.answer();
      check();
    }
  }

  get openInAll(): number {
    return this.poolers.reduce((sum, {open}) => sum + open, 0);
  }

  private step(pooler: TestPooler): void {
    const now = this.clock.now();
    const due = pooler.sent.filter(({at}) => at <= now);
    pooler.sent.splice(0, due.length);
    for (const {epoch, act} of due) {
      if (epoch === pooler.epoch && !pooler.isCutOff) act();
    }
    if (!pooler.isAlive) return;
    pooler.work();
    if (pooler.room.isReportUrgent || now >= pooler.nextQuestionAt) {
      this.ask(pooler);
    }
  }

  private ask(pooler: TestPooler): void {
    const {leader} = this;
    const askedAt = this.clock.now();
    pooler.nextQuestionAt = askedAt + QUESTION_MS;
    const report = pooler.room.takeReport();
    this.send(pooler, () => {
      leader.report(pooler.name, report, this.clock.now());
      this.send(pooler, () => pooler.room.extendLease(askedAt));
    });
  }

  /** Control hands out lists at once, as it does after each report. */
  private answer(): void {
    const present = this.poolers.filter(({isAlive}) => isAlive);
    const names = present.map(({name}) => name);
    for (const list of this.leader.allocate(names, this.clock.now())) {
      const pooler = this.poolers.find(({name}) => name === list.pooler)!;
      this.send(pooler, () => pooler.room.setGrants(list.value));
    }
  }

  /** One stream keeps the order of what it carries. */
  private send(pooler: TestPooler, act: () => void): void {
    const {epoch} = pooler;
    const last = pooler.sent.at(-1)?.at ?? 0;
    const at = Math.max(last, this.clock.now() + this.wayMs());
    pooler.sent.push({at, epoch, act});
  }
}

import {SeededRandom} from '../../../../base/common/random';
import type {
  FailureReports,
  PromotionDependencies,
} from '../../node/promotion_dependencies';
import {PromotionDriver} from '../../node/promotion_driver';
import {LoggingGroup} from './logging_group';
import {makeOrderDependencies} from './order_dependencies';
import {
  MAX_HOLD_MS,
  MAX_STOP_MS,
  SimulatedAuthority,
} from './simulated_authority';
import {SERVICE, SimulatedControl, type Leadership} from './simulated_control';
import {SimulatedProxy} from './simulated_proxy';
import {advance, delay} from './virtual_time';

const TICK_MS = 25;
const FAULT_INTERVAL_MS = 100;
const FAULTS_MS = 25_000;
/** No copy of a request may be executed later than this. */
const LATE_MS = MAX_HOLD_MS + MAX_STOP_MS;
/**
 * Search, leases, one round of requests and the effect, once no earlier request
 * can be executed.
 */
const MAX_RECOVERY_MS = 8_000;
const RECONCILE_INTERVAL_MS = 200;
const MAX_MEMBERS = 6;

/**
 * Promotions of one service by successive control leaders, with an authority
 * that executes requests late. Runs the real drivers in virtual time.
 */
export class PromotionOrders {
  readonly group = new LoggingGroup(['a', 'b', 'c']);
  readonly authority: SimulatedAuthority;
  readonly control: SimulatedControl;
  readonly history: string[] = [];
  readonly errors: string[] = [];
  longestWaitMs = 0;
  leaderCount = 0;
  /** Whether drivers start before their leader has applied the log. */
  startsEarly = false;
  /** Runs before a leader acts on its next confirmation. */
  afterNextConfirmation: (() => void) | undefined;
  readonly proxies: readonly SimulatedProxy[];
  private readonly random: SeededRandom;
  private readonly unusableSince = new Map<string, number>();
  private readonly startedAt = Date.now();
  private readonly timers: NodeJS.Timeout[] = [];
  private lastServedAt = Date.now();
  private isHealed = false;
  private unsettledFaults = 0;
  /** The share of faults that concern the leader. */
  private readonly leaderFaults: number;
  /** How often a decision is followed by a fault. */
  private readonly decisionFaults: number;

  constructor(seed: number, isFenced: boolean) {
    const {group} = this;
    this.random = new SeededRandom(seed);
    this.leaderFaults = this.random.pick([0.1, 0.3, 0.6]);
    this.decisionFaults = this.random.pick([0.2, 0.5, 0.9]);
    const note = (event: string) => this.note(event);
    this.authority = new SimulatedAuthority(group, this.random, isFenced, note);
    this.control = new SimulatedControl(group, this.random, leadership => {
      this.onDidElect(leadership);
    });
    this.proxies = ['p1', 'p2'].map(name => {
      return new SimulatedProxy(name, group, this.control, commit => {
        this.authority.acknowledged.add(commit);
      });
    });
    this.timers.push(setInterval(() => this.tick(), TICK_MS));
    this.control.elect(this.control.instances[0]!);
  }

  /** Random faults, then none until the service has recovered. */
  async run(): Promise<void> {
    await advance(2_000);
    this.authority.isFaulty = true;
    const faultChance = this.random.pick([0.02, 0.05, 0.1]);
    for (let passed = 0; passed < FAULTS_MS; passed += FAULT_INTERVAL_MS) {
      if (this.random.fraction() < faultChance) this.injectFault();
      await advance(FAULT_INTERVAL_MS);
    }
    await this.recover();
    await this.end();
  }

  /** Checks that the service has a primary after the last fault. */
  async recover(): Promise<void> {
    this.note('faults end');
    this.isHealed = true;
    this.authority.isFaulty = false;
    this.authority.script = undefined;
    for (const member of this.group.all) this.repair(member.instance);
    await advance(LATE_MS);
    const deadline = Date.now() + MAX_RECOVERY_MS;
    while (!this.isServing && Date.now() < deadline) await advance(100);
    if (!this.isServing) this.errors.push('PROGRESS: no published primary');
  }

  /** Stops all that runs. */
  async end(): Promise<void> {
    this.control.lose('kill', 0);
    for (const timer of this.timers) clearInterval(timer);
    await advance(1_000);
    this.errors.unshift(...this.authority.errors);
  }

  /** How long the service waited for a primary, and what went wrong. */
  get summary(): string {
    const {longestWaitMs, leaderCount, authority, errors} = this;
    const {effectCount} = authority;
    const numbers = {longestWaitMs, leaderCount, effectCount};
    return JSON.stringify({...numbers, errors});
  }

  get isServing(): boolean {
    return this.proxies.some(({primary}) => primary !== undefined);
  }

  note(event: string): void {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(2);
    this.history.push(`${seconds} ${event}`);
  }

  /** Replaces the leader; the earlier one may act on. */
  async changeLeader(
    kind: 'kill' | 'suspend' | 'isolate',
    electionMs: number,
    {actsOnMs = 0, applyDelayMs = 0, mayBeLast = false} = {},
  ): Promise<void> {
    this.note(`${this.control.current?.instance.name} is lost: ${kind}`);
    this.control.lose(kind, actsOnMs);
    await delay(electionMs);
    while (
      !this.control.current &&
      !this.control.electAny(applyDelayMs, mayBeLast)
    ) {
      await delay(electionMs);
    }
  }

  private get connected(): readonly SimulatedProxy[] {
    return this.proxies.filter(({isCut}) => !isCut);
  }

  private onDidElect(leadership: Leadership): void {
    this.leaderCount++;
    const {name, appliedIndex} = leadership.instance;
    this.note(`${name} leads, has applied ${appliedIndex}`);
    for (const proxy of this.connected) proxy.attach(leadership);
    const dependencies = makeOrderDependencies(leadership, {
      group: this.group,
      control: this.control,
      authority: this.authority,
      onDidConfirm: () => this.onDidConfirm(),
      onDidDecide: successor => this.onDidDecide(successor),
      failureReportsOf: instance => this.reportsOf(leadership, instance),
      note: event => this.note(event),
    });
    const startMs = this.random.integer(0, RECONCILE_INTERVAL_MS);
    setTimeout(() => this.startDriver(leadership, dependencies), startMs);
  }

  private startDriver(
    leadership: Leadership,
    dependencies: PromotionDependencies,
  ): void {
    if (leadership.stop.signal.aborted) return;
    if (!leadership.isReady && !this.startsEarly) {
      const startLater = () => this.startDriver(leadership, dependencies);
      setTimeout(startLater, RECONCILE_INTERVAL_MS);
      return;
    }
    const driver = new PromotionDriver(dependencies);
    for (const {record} of this.group.all) leadership.monitorOf(record);
    void driver.start(leadership.stop.signal);
  }

  private tick(): void {
    const now = Date.now();
    this.group.replicate(() => this.random.fraction() < 0.5);
    for (const proxy of this.proxies) proxy.tick();
    for (const member of this.group.all) {
      const {instance} = member;
      const isUsed = this.connected.some(proxy => proxy.canUse(member));
      if (isUsed) this.unusableSince.delete(instance);
      else if (!this.unusableSince.has(instance)) {
        this.unusableSince.set(instance, now);
      }
    }
    if (this.isServing) this.lastServedAt = now;
    this.longestWaitMs = Math.max(this.longestWaitMs, now - this.lastServedAt);
    const isLeaderless = this.isHealed && !this.control.current;
    if (isLeaderless && this.unsettledFaults === 0) {
      this.control.electAny(0, true);
    }
  }

  private reportsOf({published}: Leadership, instance: string): FailureReports {
    const proxyCount = this.connected.length;
    const since = this.unusableSince.get(instance);
    const isReported = since !== undefined && !published.isRevoked(SERVICE);
    const reportCount = isReported ? proxyCount : 0;
    const reportedMs = isReported ? Date.now() - since : 0;
    return {proxyCount, reportCount, reportedMs};
  }

  /** A leader may be suspended before it acts on a confirmation. */
  private onDidConfirm(): void {
    const act = this.afterNextConfirmation;
    this.afterNextConfirmation = undefined;
    if (act) return act();
    const {authority, random, group} = this;
    if (!authority.isFaulty || random.fraction() > 0.05) return;
    this.loseLeader('suspend');
    const {primary} = group;
    if (primary) this.harmLater(primary.instance, 1_500);
  }

  /** Faults during a promotion are the ones that leave requests under way. */
  private onDidDecide(successor: string): void {
    const {authority, random} = this;
    if (!authority.isFaulty || random.fraction() > this.decisionFaults) return;
    if (random.fraction() < this.leaderFaults) {
      setTimeout(() => this.loseLeader(), random.integer(0, 1_500));
    } else {
      this.harmLater(successor, 1_500);
    }
  }

  private injectFault(): void {
    const {random} = this;
    const {primary} = this.group;
    const isAtPrimary = primary && random.fraction() < 0.7;
    const {instance} = isAtPrimary ? primary : random.pick(this.group.all);
    if (random.fraction() < this.leaderFaults) return this.loseLeader();
    if (random.integer(0, 7) === 0) {
      this.control.current?.suspendFor(random.integer(50, 900));
      return;
    }
    this.harmLater(instance, 0);
    if (random.fraction() > this.leaderFaults) return;
    setTimeout(() => this.loseLeader(), random.integer(0, 2_500));
  }

  private loseLeader(
    kind = this.random.pick(['kill', 'suspend', 'isolate'] as const),
  ): void {
    if (this.isHealed || !this.control.current) return;
    const {random} = this;
    const applyDelayMs = random.pick([0, 0, random.integer(100, 900)]);
    const actsOnMs = random.integer(200, 4_000);
    this.unsettledFaults++;
    void this.changeLeader(kind, random.integer(300, 1_500), {
      actsOnMs,
      applyDelayMs,
      mayBeLast: random.integer(0, 1) === 0,
    }).then(() => this.unsettledFaults--);
  }

  private harmLater(instance: string, maxDelayMs: number): void {
    const harm = () => {
      if (!this.isHealed) this.harm(instance);
    };
    setTimeout(harm, this.random.integer(0, maxDelayMs));
  }

  private harm(instance: string): void {
    const member = this.group.member(instance);
    const kind = this.random.pick([
      'crash',
      'silent',
      'hidden',
      'drain',
      'lag',
      'join',
    ]);
    this.note(`${instance}: ${kind}`);
    if (kind === 'join') return this.join();
    if (kind === 'crash') member.crash();
    if (kind === 'lag') member.isLagging = true;
    if (kind === 'drain') member.isDraining = true;
    if (kind === 'silent' || kind === 'hidden') member.isSilent = true;
    if (kind === 'hidden') {
      member.isHidden = true;
      if (this.random.integer(0, 1) === 0) this.cutProxy();
    }
    setTimeout(() => this.repair(instance), this.random.integer(500, 6_000));
  }

  /** A replica announces itself and receives a little later. */
  join(receiveDelayMs = this.random.integer(20, 500)): void {
    const {group, control} = this;
    if (group.all.length >= MAX_MEMBERS) return;
    const {instance, record} = group.join(`j${group.all.length}`);
    this.note(`${instance}: joins`);
    control.admit(record);
    control.current?.monitorOf(record);
    setTimeout(() => this.repair(instance), receiveDelayMs);
  }

  /** It attaches again when the partition ends. */
  private cutProxy(): void {
    const proxy = this.random.pick(this.proxies);
    proxy.isCut = true;
    this.note('a proxy is cut');
    const reconnect = () => {
      proxy.isCut = false;
      if (this.control.current) proxy.attach(this.control.current);
    };
    setTimeout(reconnect, this.random.integer(500, 4_000));
  }

  private repair(instance: string): void {
    this.note(`${instance}: back`);
    this.group.member(instance).recover();
  }
}

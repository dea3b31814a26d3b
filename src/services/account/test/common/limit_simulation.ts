import type {SeededRandom} from '../../../../base/common/random';
import type {AccountLimit} from '../../../../schema/generated/fleet';
import type {PermitDecision} from '../../common/permit_counting';
import {HeldPermits} from '../../common/held_permits';
import {RefusalTracker} from '../../common/refusal_tracker';
import {CountingFleet, PRECISION, type CountingNode} from './limit_fleet';
import {Timeline} from './limit_timeline';

const STEP_MS = 5;
const REGION_COUNT = 3;
const ANSWER_TIMEOUT_MS = 60;

/** A proxy that callers connect to. */
export interface CallerProxy {
  readonly region: number;
  permits: HeldPermits;
}

/** A request for permits that is sent to counters in turn. */
interface PendingRequest {
  readonly callers: Callers;
  readonly proxy: CallerProxy;
  readonly wanted: number;
  readonly remaining: CountingNode[];
  readonly refusals: RefusalTracker;
}

/** The callers of one account, and the outcomes of their operations. */
export class Callers {
  /** First attempts a second, without retries. */
  perSecond = 0;
  /** When operations ran. */
  readonly ranAt: number[] = [];
  requestCount = 0;
  refusedCount = 0;
  /** Operations that no counter decided on. */
  undecidedCount = 0;
  /** Whether refused callers retry after the returned time. */
  isRetrying = false;
  /** Chooses the proxy of the next operation. */
  choose: (simulation: LimitSimulation) => CallerProxy = simulation =>
    simulation.pickProxy();
  private nextArrivalAt = 0;

  constructor(
    readonly account: string,
    public limit: AccountLimit,
  ) {}

  /** Returns how many arrive until a time, independently of each other. */
  arrivalsUntil(now: number, random: SeededRandom): number {
    if (this.perSecond === 0) this.nextArrivalAt = now;
    let count = 0;
    for (; this.nextArrivalAt < now; count++) {
      const intervalMs = 1_000 / this.perSecond;
      this.nextArrivalAt += -Math.log(1 - random.fraction()) * intervalMs;
    }
    return count;
  }

  /** Returns the most that ran in any window, from a time on. */
  maxInWindow(windowMs: number, from = 0): number {
    const times = this.ranAt.filter(at => at >= from);
    let maxCount = 0;
    let first = 0;
    for (const [last, at] of times.entries()) {
      while (at - times[first]! > windowMs) first++;
      maxCount = Math.max(maxCount, last - first + 1);
    }
    return maxCount;
  }
}

/** Returns how many operations may run in any window. */
export function allowedInWindow({perSecond, burst}: AccountLimit): number {
  const {windowMs, excess, slack} = PRECISION;
  return ((perSecond * windowMs) / 1_000 + burst) * (1 + excess) + slack;
}

/** Simulates proxies, counters, control and the callers of accounts. */
export class LimitSimulation {
  readonly timeline = new Timeline(STEP_MS);
  readonly fleet: CountingFleet;
  readonly proxies: CallerProxy[];
  readonly callers: Callers[];
  /** The fraction of answers of counters that are lost. */
  lostAnswerFraction = 0;

  constructor(
    readonly random: SeededRandom,
    limits: readonly AccountLimit[],
    proxiesPerRegion = 25,
    leaseMs?: number,
  ) {
    this.fleet = new CountingFleet(this.timeline, random, leaseMs);
    this.proxies = Array.from(
      {length: REGION_COUNT * proxiesPerRegion},
      (...[, at]) => ({region: at % REGION_COUNT, permits: new HeldPermits()}),
    );
    this.callers = limits.map((limit, at) => new Callers(`a${at}`, limit));
    this.publishLimits();
    for (let at = 0; at < 2 * REGION_COUNT; at++) {
      this.fleet.addNode(`c${at}`, at % REGION_COUNT);
    }
    this.fleet.setCounters(this.fleet.nodes.map(({name}) => name));
    this.fleet.electLeader();
  }

  /** Publishes the limits of all accounts. */
  publishLimits(): void {
    this.fleet.setAccounts(
      this.callers.map(({account, limit}) => {
        return {account, keyDigests: [], limit};
      }),
    );
  }

  pickProxy(): CallerProxy {
    return this.random.pick(this.proxies);
  }

  pickProxyIn(region: number): CallerProxy {
    const each = Math.floor(this.proxies.length / REGION_COUNT);
    const at = this.random.integer(0, each - 1);
    return this.proxies[at * REGION_COUNT + region]!;
  }

  /** Sets the load of all accounts as a multiple of their rates. */
  setLoad(ratio: number): void {
    for (const one of this.callers) one.perSecond = one.limit.perSecond * ratio;
  }

  run(milliseconds: number): void {
    const until = this.timeline.now() + milliseconds;
    while (this.timeline.now() < until) {
      this.timeline.step();
      this.fleet.step();
      for (const callers of this.callers) this.startArrivals(callers);
    }
  }

  /** Starts another proxy. */
  addProxy(): void {
    const region = this.proxies.length % REGION_COUNT;
    this.proxies.push({region, permits: new HeldPermits()});
  }

  /** Starts one operation of a caller at a proxy. */
  start(callers: Callers, proxy: CallerProxy): void {
    callers.requestCount++;
    const now = this.timeline.now();
    const lookup = proxy.permits.tryTake(callers.account, now);
    if (lookup.kind === 'taken') callers.ranAt.push(now);
    if (lookup.kind === 'refused') {
      this.refuse(callers, proxy, lookup.retryAfterMs);
    }
    if (lookup.kind !== 'request') return;
    const remaining = this.rankCounters(callers.account, proxy.region);
    const {wanted, maxFurtherCounters} = lookup;
    const refusals = new RefusalTracker(maxFurtherCounters);
    this.tryNext({callers, proxy, wanted, remaining, refusals});
  }

  private startArrivals(callers: Callers): void {
    const count = callers.arrivalsUntil(this.timeline.now(), this.random);
    for (let n = 0; n < count; n++) this.start(callers, callers.choose(this));
  }

  private refuse(callers: Callers, proxy: CallerProxy, afterMs: number): void {
    callers.refusedCount++;
    if (!callers.isRetrying) return;
    this.timeline.after(afterMs, () => this.start(callers, proxy));
  }

  /** Orders counters as a proxy tries them, those of its region first. */
  private rankCounters(account: string, region: number): CountingNode[] {
    const {active, retiring, nodes} = this.fleet;
    const rank = ({name}: CountingNode) => hash(`${account} ${name}`);
    const far = (node: CountingNode) => {
      return retiring.includes(node.name) ? 2 : Number(node.region !== region);
    };
    return nodes
      .filter(({name}) => active.includes(name) || retiring.includes(name))
      .sort((one, two) => far(one) - far(two) || rank(one) - rank(two));
  }

  /** Tries counters in turn until one grants permits. */
  private tryNext(request: PendingRequest): void {
    const {proxy, remaining} = request;
    const node = remaining.shift();
    if (!node || !request.refusals.canTryAnother) return this.fail(request);
    const requestedAt = this.timeline.now();
    if (node.isDown) {
      return this.timeline.after(ANSWER_TIMEOUT_MS, () =>
        this.tryNext(request),
      );
    }
    this.timeline.after(this.pickDelayMs(proxy, node), () => {
      const {account} = request.callers;
      const decision = node.counter.requestPermits(account, request.wanted);
      if (this.random.fraction() < this.lostAnswerFraction) {
        this.timeline.after(ANSWER_TIMEOUT_MS, () => this.tryNext(request));
        return;
      }
      this.timeline.after(this.pickDelayMs(proxy, node), () => {
        this.onDidAnswer(request, requestedAt, decision);
      });
    });
  }

  private onDidAnswer(
    request: PendingRequest,
    requestedAt: number,
    decision: PermitDecision,
  ): void {
    const {callers, proxy} = request;
    const now = this.timeline.now();
    if (decision.kind === 'granted') {
      proxy.permits.onDidReceiveDecision(
        callers.account,
        requestedAt,
        decision,
        now,
      );
      const run = () => callers.ranAt.push(this.timeline.now());
      if (decision.waitMs === 0) run();
      else this.timeline.after(decision.waitMs, run);
      return;
    }
    if (decision.kind === 'refused') {
      request.refusals.add(requestedAt, decision);
    }
    this.tryNext(request);
  }

  private fail({callers, proxy, refusals}: PendingRequest): void {
    const now = this.timeline.now();
    const decision = refusals.refusalAt(now);
    if (!decision) {
      callers.undecidedCount++;
      return;
    }
    proxy.permits.onDidReceiveDecision(callers.account, now, decision, now);
    this.refuse(callers, proxy, decision.retryAfterMs);
  }

  private pickDelayMs({region}: CallerProxy, node: CountingNode): number {
    if (node.region === region) return this.random.integer(1, 3);
    return this.random.integer(10, 25);
  }
}

function hash(text: string): number {
  let value = 2_166_136_261;
  for (const char of text) {
    value = Math.imul(value ^ char.charCodeAt(0), 16_777_619);
  }
  return Math.imul(value ^ (value >>> 15), 2_246_822_507) >>> 0;
}

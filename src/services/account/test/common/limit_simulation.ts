import type {SeededRandom} from '../../../../base/common/random';
import type {AccountLimit} from '../../../../schema/generated/fleet';
import type {PermitDecision} from '../../common/permit_counting';
import type {AccountCounter} from '../../common/account_counter';
import {HeldPermits} from '../../common/held_permits';
import {RefusalTracker} from '../../common/refusal_tracker';
import {RequestWindow} from '../../common/request_window';
import {CountingFleet, PRECISION, type CountingNode} from './limit_fleet';
import {Timeline} from './limit_timeline';

const STEP_MS = 5;
const REGION_COUNT = 3;
/** As in `CounterDirectory` and `AccountLimits`. */
const REGION_ANSWER_TIMEOUT_MS = 60;
const REMOTE_ANSWER_TIMEOUT_MS = 150;
const ROUND_INTERVAL_MS = 100;
const POLL_INTERVAL_MS = 15;
const MAX_BUSY_WAIT_MS = 120;
/** How long an operation waits for a decision. */
const MAX_DECISION_MS = 400;

/** The requests of a proxy to one counter. */
interface SimulatedLink {
  /** The process that it leads to, until that restarts. */
  readonly counter: AccountCounter;
  readonly window: RequestWindow;
  pendingCount: number;
}

/** A proxy that callers connect to. */
export interface CallerProxy {
  readonly region: number;
  permits: HeldPermits;
  readonly links: Map<CountingNode, SimulatedLink>;
}

/** An attempt of a caller to run an operation. */
interface Attempt {
  readonly callers: Callers;
  readonly proxy: CallerProxy;
  readonly retries: number;
}

/** A request for permits that is sent to counters in turn. */
interface PendingRequest extends Attempt {
  readonly wanted: number;
  readonly startedAt: number;
  readonly deadline: number;
  remaining: CountingNode[];
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
  /** How often refused callers retry after the returned time. */
  maxRetries = 0;
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
  /** How long a counter works on each message, in milliseconds. */
  counterWorkMs = 0;
  /** Requests that counters received. */
  permitRequestCount = 0;

  constructor(
    readonly random: SeededRandom,
    limits: readonly AccountLimit[],
    proxiesPerRegion = 25,
    leaseMs?: number,
  ) {
    this.fleet = new CountingFleet(this.timeline, random, leaseMs);
    this.proxies = Array.from(
      {length: REGION_COUNT * proxiesPerRegion},
      (...[, at]) => makeProxy(at),
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
    this.proxies.push(makeProxy(this.proxies.length));
  }

  /** Starts one operation of a caller at a proxy. */
  start(callers: Callers, proxy: CallerProxy, retries = 0): void {
    callers.requestCount++;
    const now = this.timeline.now();
    const lookup = proxy.permits.tryTake(callers.account, now);
    if (lookup.kind === 'taken') callers.ranAt.push(now);
    if (lookup.kind === 'refused') {
      this.refuse({callers, proxy, retries}, lookup.retryAfterMs);
    }
    if (lookup.kind !== 'request') return;
    const remaining = this.rankCounters(callers.account, proxy.region);
    const {wanted, maxFurtherCounters} = lookup;
    const refusals = new RefusalTracker(maxFurtherCounters);
    const deadline = now + MAX_DECISION_MS;
    this.tryNext({
      callers,
      proxy,
      retries,
      wanted,
      startedAt: now,
      deadline,
      remaining,
      refusals,
    });
  }

  private startArrivals(callers: Callers): void {
    const count = callers.arrivalsUntil(this.timeline.now(), this.random);
    for (let n = 0; n < count; n++) this.start(callers, callers.choose(this));
  }

  private refuse({callers, proxy, retries}: Attempt, afterMs: number): void {
    callers.refusedCount++;
    if (retries >= callers.maxRetries) return;
    this.timeline.after(afterMs, () => {
      this.start(callers, proxy, retries + 1);
    });
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
    const {proxy, refusals, callers, deadline, startedAt} = request;
    const now = this.timeline.now();
    const isOver = now >= deadline || !refusals.canTryAnother;
    if (isOver) return this.fail(request);
    const {remaining} = request;
    const at = remaining.findIndex(node => this.canSend(proxy, node));
    const [node] = at < 0 ? [] : remaining.splice(at, 1);
    if (node) return this.requestFrom(node, request);
    if (refusals.refusalAt(now)) return this.fail(request);
    const isBusy = remaining.length > 0;
    if (isBusy && now - startedAt >= MAX_BUSY_WAIT_MS) {
      return this.fail(request);
    }
    if (!isBusy) {
      request.remaining = this.rankCounters(callers.account, proxy.region);
    }
    const delayMs = isBusy ? POLL_INTERVAL_MS : ROUND_INTERVAL_MS;
    this.timeline.after(delayMs, () => this.tryNext(request));
  }

  private canSend(proxy: CallerProxy, node: CountingNode): boolean {
    const {window, pendingCount} = this.linkOf(proxy, node);
    return window.allows(pendingCount, this.timeline.now());
  }

  private requestFrom(node: CountingNode, request: PendingRequest): void {
    const {proxy, wanted} = request;
    const {account} = request.callers;
    const link = this.linkOf(proxy, node);
    const requestedAt = this.timeline.now();
    let hasTimedOut = false;
    let isAnswered = false;
    link.pendingCount++;
    this.timeline.after(timeoutOf(proxy, node), () => {
      hasTimedOut = !isAnswered;
      if (!hasTimedOut) return;
      link.window.onTimeout(link.pendingCount, this.timeline.now());
      this.tryNext(request);
    });
    this.send(proxy, node, () => {
      this.permitRequestCount++;
      const decision = node.counter.requestPermits(account, wanted);
      if (this.random.fraction() < this.lostAnswerFraction) {
        link.pendingCount--;
        return;
      }
      this.timeline.after(this.pickDelayMs(proxy, node), () => {
        const tookMs = this.timeline.now() - requestedAt;
        link.window.onAnswer({tookMs, pendingCount: link.pendingCount--});
        isAnswered = true;
        if (!hasTimedOut) this.onDidAnswer(request, requestedAt, decision);
        else this.returnLate(proxy, node, account, decision);
      });
    });
  }

  /** The operation tried another counter before this decision arrived. */
  private returnLate(
    proxy: CallerProxy,
    node: CountingNode,
    account: string,
    decision: PermitDecision,
  ): void {
    if (decision.kind !== 'granted') return;
    this.send(proxy, node, () => {
      node.counter.returnPermits(account, decision.count);
    });
  }

  /** Delivers a message to a counter, which works on one at a time. */
  private send(
    proxy: CallerProxy,
    node: CountingNode,
    deliver: () => void,
  ): void {
    if (node.isDown) return;
    this.timeline.after(this.pickDelayMs(proxy, node), () => {
      const now = this.timeline.now();
      node.busyUntil = Math.max(now, node.busyUntil) + this.counterWorkMs;
      const deliverIfUp = () => {
        if (!node.isDown) deliver();
      };
      const waitMs = node.busyUntil - now;
      if (waitMs > 0) this.timeline.after(waitMs, deliverIfUp);
      else deliverIfUp();
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

  private fail(request: PendingRequest): void {
    const {callers, proxy, refusals} = request;
    const now = this.timeline.now();
    const decision = refusals.refusalAt(now);
    if (!decision) {
      callers.undecidedCount++;
      return;
    }
    proxy.permits.onDidReceiveDecision(callers.account, now, decision, now);
    this.refuse(request, decision.retryAfterMs);
  }

  private linkOf(proxy: CallerProxy, node: CountingNode): SimulatedLink {
    const known = proxy.links.get(node);
    const {counter} = node;
    if (known?.counter === counter) return known;
    const window = new RequestWindow(timeoutOf(proxy, node), this.random);
    const link = {counter, window, pendingCount: 0};
    proxy.links.set(node, link);
    return link;
  }

  private pickDelayMs({region}: CallerProxy, node: CountingNode): number {
    if (node.region === region) return this.random.integer(1, 3);
    return this.random.integer(10, 25);
  }
}

function makeProxy(index: number): CallerProxy {
  const region = index % REGION_COUNT;
  return {region, permits: new HeldPermits(), links: new Map()};
}

function timeoutOf({region}: CallerProxy, node: CountingNode): number {
  return node.region === region
    ? REGION_ANSWER_TIMEOUT_MS
    : REMOTE_ANSWER_TIMEOUT_MS;
}

function hash(text: string): number {
  let value = 2_166_136_261;
  for (const char of text) {
    value = Math.imul(value ^ char.charCodeAt(0), 16_777_619);
  }
  return Math.imul(value ^ (value >>> 15), 2_246_822_507) >>> 0;
}

import type {SeededRandom} from '../../../../base/common/random';
import type {AccountLimit} from '../../../../schema/generated/fleet';
import type {PermitDecision} from '../../common/permit_counting';
import {HeldPermits} from '../../common/held_permits';
import {PermitQuestion} from '../../common/refusal_tracker';
import {CountingFleet, PRECISION, type CountingNode} from './limit_fleet';
import {Timeline} from './limit_timeline';

const STEP_MS = 5;
const REGIONS = 3;
/** A counter that does not answer within this time is taken for silent. */
const SILENT_MS = 60;

/** A proxy that callers connect to. */
export interface FirstProxy {
  readonly region: number;
  book: HeldPermits;
}

/** A question to one counter after the other. */
interface Question {
  readonly callers: Callers;
  readonly proxy: FirstProxy;
  readonly wanted: number;
  readonly others: CountingNode[];
  readonly round: PermitQuestion;
}

/** An account, its callers and what came of their operations. */
export class Callers {
  /** Operations a second that they ask for at first. */
  perSecond = 0;
  /** When operations ran, in milliseconds. */
  readonly ran: number[] = [];
  asked = 0;
  refused = 0;
  /** Operations that nobody decided. */
  lost = 0;
  /** Whether those who are refused come again when they were told to. */
  isRetrying = false;
  /** Where the next operation comes in. */
  place: (world: LimitWorld) => FirstProxy = world => world.anyProxy();
  private nextAt = 0;

  constructor(
    readonly account: string,
    public limit: AccountLimit,
  ) {}

  /** How many come in until a time; independent of each other. */
  comeUntil(now: number, random: SeededRandom): number {
    if (this.perSecond === 0) this.nextAt = now;
    let count = 0;
    for (; this.nextAt < now; count++) {
      const betweenMs = 1_000 / this.perSecond;
      this.nextAt += -Math.log(1 - random.fraction()) * betweenMs;
    }
    return count;
  }

  /** The most that ran in any span of a length, from a time on. */
  mostWithin(windowMs: number, from = 0): number {
    const times = this.ran.filter(at => at >= from);
    let most = 0;
    let first = 0;
    for (const [last, at] of times.entries()) {
      while (at - times[first]! > windowMs) first++;
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}

/** What the users allow in a span of five seconds. */
export function allowed({perSecond, burst}: AccountLimit): number {
  const {windowMs, excess, slack} = PRECISION;
  return ((perSecond * windowMs) / 1_000 + burst) * (1 + excess) + slack;
}

/** First proxies, counters, control and the callers of some accounts. */
export class LimitWorld {
  readonly timeline = new Timeline(STEP_MS);
  readonly fleet: CountingFleet;
  readonly proxies: FirstProxy[];
  readonly callers: Callers[];
  /** The part of questions of which the answers are lost. */
  lostPart = 0;

  constructor(
    readonly random: SeededRandom,
    limits: readonly AccountLimit[],
    proxiesPerRegion = 25,
    leaseMs?: number,
  ) {
    this.fleet = new CountingFleet(this.timeline, random, leaseMs);
    this.proxies = Array.from(
      {length: REGIONS * proxiesPerRegion},
      (...[, at]) => ({region: at % REGIONS, book: new HeldPermits()}),
    );
    this.callers = limits.map((limit, at) => new Callers(`a${at}`, limit));
    this.publish();
    for (let at = 0; at < 2 * REGIONS; at++) {
      this.fleet.addNode(`c${at}`, at % REGIONS);
    }
    this.fleet.name(this.fleet.nodes.map(({name}) => name));
    this.fleet.electLeader();
  }

  /** Takes the limits of the callers' accounts. */
  publish(): void {
    this.fleet.setAccounts(
      this.callers.map(({account, limit}) => {
        return {account, keyDigests: [], limit};
      }),
    );
  }

  anyProxy(): FirstProxy {
    return this.random.pick(this.proxies);
  }

  proxyIn(region: number): FirstProxy {
    const each = Math.floor(this.proxies.length / REGIONS);
    const at = this.random.integer(0, each - 1);
    return this.proxies[at * REGIONS + region]!;
  }

  /** Lets all callers ask a multiple of their limit's rate. */
  load(part: number): void {
    for (const one of this.callers) one.perSecond = one.limit.perSecond * part;
  }

  run(milliseconds: number): void {
    const until = this.timeline.now() + milliseconds;
    while (this.timeline.now() < until) {
      this.timeline.step();
      this.fleet.step();
      for (const callers of this.callers) this.come(callers);
    }
  }

  /** Another instance starts. */
  addProxy(): void {
    const region = this.proxies.length % REGIONS;
    this.proxies.push({region, book: new HeldPermits()});
  }

  /** A caller asks one proxy for one operation. */
  ask(callers: Callers, proxy: FirstProxy): void {
    callers.asked++;
    const now = this.timeline.now();
    const knowledge = proxy.book.tryTake(callers.account, now);
    if (knowledge.kind === 'taken') callers.ran.push(now);
    if (knowledge.kind === 'refused') {
      this.refuse(callers, proxy, knowledge.retryAfterMs);
    }
    if (knowledge.kind !== 'ask') return;
    const others = this.order(callers.account, proxy.region);
    const {wanted, further} = knowledge;
    const round = new PermitQuestion(further);
    this.askNext({callers, proxy, wanted, others, round});
  }

  private come(callers: Callers): void {
    const count = callers.comeUntil(this.timeline.now(), this.random);
    for (let at = 0; at < count; at++) this.ask(callers, callers.place(this));
  }

  private refuse(callers: Callers, proxy: FirstProxy, afterMs: number): void {
    callers.refused++;
    if (!callers.isRetrying) return;
    this.timeline.after(afterMs, () => this.ask(callers, proxy));
  }

  /** Counters as a proxy asks them: those of its region, then others. */
  private order(account: string, region: number): CountingNode[] {
    const {named, retiring, nodes} = this.fleet;
    const rank = ({name}: CountingNode) => hash(`${account} ${name}`);
    const far = (node: CountingNode) => {
      return retiring.includes(node.name) ? 2 : Number(node.region !== region);
    };
    return nodes
      .filter(({name}) => named.includes(name) || retiring.includes(name))
      .sort((one, two) => far(one) - far(two) || rank(one) - rank(two));
  }

  /** Asks one counter after the other until one grants. */
  private askNext(question: Question): void {
    const {proxy, others} = question;
    const node = others.shift();
    if (!node || !question.round.mayGoOn) return this.giveUp(question);
    const askedAt = this.timeline.now();
    if (node.isDown) {
      return this.timeline.after(SILENT_MS, () => this.askNext(question));
    }
    this.timeline.after(this.wayTo(proxy, node), () => {
      const {account} = question.callers;
      const decision = node.counter.requestPermits(account, question.wanted);
      if (this.random.fraction() < this.lostPart) {
        this.timeline.after(SILENT_MS, () => this.askNext(question));
        return;
      }
      this.timeline.after(this.wayTo(proxy, node), () => {
        this.onAnswered(question, askedAt, decision);
      });
    });
  }

  private onAnswered(
    question: Question,
    askedAt: number,
    decision: PermitDecision,
  ): void {
    const {callers, proxy} = question;
    const now = this.timeline.now();
    if (decision.kind === 'granted') {
      proxy.book.onDidReceiveDecision(callers.account, askedAt, decision, now);
      const run = () => callers.ran.push(this.timeline.now());
      if (decision.waitMs === 0) run();
      else this.timeline.after(decision.waitMs, run);
      return;
    }
    if (decision.kind === 'refused') {
      question.round.onRefused(askedAt, decision);
    }
    this.askNext(question);
  }

  private giveUp({callers, proxy, round}: Question): void {
    const now = this.timeline.now();
    const decision = round.refusalAt(now);
    if (!decision) {
      callers.lost++;
      return;
    }
    proxy.book.onDidReceiveDecision(callers.account, now, decision, now);
    this.refuse(callers, proxy, decision.retryAfterMs);
  }

  private wayTo({region}: FirstProxy, node: CountingNode): number {
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

import type {SeededRandom} from '../../../../base/common/random';
import type {AccountLimit} from '../../../../schema/generated/fleet';
import {sharedTerms} from '../../common/limit_precision';
import {PRECISION} from './limit_fleet';
import {allowed, LimitWorld, type Callers} from './limit_simulation';

/**
 * A counter that is cut off keeps to a limit that was lowered meanwhile when
 * its lease ends, and control raises no other before: a lease and margins.
 */
const LOWERED_MS = 8_500;
const USUAL_PART = 1 / 1.6;
const FLOOD_PART = 7.5 * USUAL_PART;

/** A limit and when it came into force. */
interface PastLimit {
  readonly from: number;
  readonly limit: AccountLimit;
}

/** Lets all kinds of trouble come over a world at random. */
export class LimitChaos {
  private readonly past = new Map<string, PastLimit[]>();
  private added = 0;
  /** Where counters had more together than a limit allows; empty where not. */
  readonly faults: string[] = [];

  constructor(
    readonly world: LimitWorld,
    private readonly random: SeededRandom,
  ) {
    for (const {account, limit} of world.callers) {
      this.past.set(account, [{from: 0, limit}]);
    }
  }

  /** Lets things happen for some time. */
  run(milliseconds: number): void {
    const {timeline} = this.world;
    const until = timeline.now() + milliseconds;
    while (timeline.now() < until) {
      this.happen();
      const untilNext = timeline.now() + this.random.integer(20, 1_200);
      while (timeline.now() < untilNext) {
        this.world.run(20);
        this.check();
      }
    }
  }

  /** Callers that got more in a span than any limit of the time allows. */
  excesses(): string[] {
    return this.world.callers.flatMap(callers => this.excessOf(callers));
  }

  private happen(): void {
    const {random} = this;
    switch (random.integer(0, 13)) {
      case 0:
        return this.world.fleet.electLeader();
      case 1:
        return this.loseControl(random.integer(100, 3_000));
      case 2:
      case 3:
        return this.cutSome(random.integer(20, 9_000));
      case 4:
      case 5:
        return this.restartOne();
      case 6:
        return this.restartAll();
      case 7:
        return this.changeLimit();
      case 8:
        return this.renameCounter();
      case 9:
        return this.world.addProxy();
      case 10:
        return this.world.load(USUAL_PART);
      case 11:
        return this.floodTwo();
      default:
        return this.world.load(FLOOD_PART);
    }
  }

  private loseControl(milliseconds: number): void {
    const {fleet, timeline} = this.world;
    fleet.loseLeader();
    timeline.after(milliseconds, () => {
      if (!fleet.leader) fleet.electLeader();
    });
  }

  private cutSome(milliseconds: number): void {
    for (const node of this.world.fleet.nodes) {
      if (this.random.integer(0, 2) > 0) continue;
      node.isCut = true;
      this.world.timeline.after(milliseconds, () => (node.isCut = false));
    }
  }

  private restartOne(): void {
    const node = this.random.pick(this.world.fleet.nodes);
    node.restart(this.random.integer(20, 1_500));
  }

  private restartAll(): void {
    for (const node of this.world.fleet.nodes) {
      node.restart(this.random.integer(300, 1_500));
    }
    this.loseControl(this.random.integer(300, 1_500));
  }

  private changeLimit(): void {
    const callers = this.random.pick(this.world.callers);
    const perSecond = this.random.integer(5, 393);
    const burst = perSecond / this.random.integer(1, 2);
    callers.limit = {perSecond, burst};
    const from = this.world.timeline.now();
    this.past.get(callers.account)!.push({from, limit: callers.limit});
    this.world.publish();
  }

  private renameCounter(): void {
    const {fleet} = this.world;
    const named = [...fleet.named];
    const old = named.splice(this.random.integer(0, named.length - 1), 1);
    const region = fleet.nodes.find(({name}) => name === old[0])!.region;
    const name = `n${this.added++}`;
    fleet.addNode(name, region);
    fleet.name([...named, name], [...fleet.retiring, ...old]);
  }

  private floodTwo(): void {
    this.world.load(USUAL_PART);
    for (let count = 0; count < 2; count++) {
      const callers = this.random.pick(this.world.callers);
      callers.perSecond = callers.limit.perSecond * FLOOD_PART;
    }
  }

  private check(): void {
    const now = this.world.timeline.now();
    for (const [account, held] of this.world.fleet.heldNow()) {
      const terms = this.limitsWithin(account, now - LOWERED_MS, now).map(
        limit => sharedTerms(limit, PRECISION),
      );
      const rate = Math.max(...terms.map(({perSecond}) => perSecond));
      const depth = Math.max(...terms.map(one => one.depth));
      const part = Math.max(held.perSecond / rate, held.depth / depth);
      if (part > 1 + 1e-9) this.faults.push(`${account} ${part} at ${now}`);
    }
  }

  private limitsWithin(
    account: string,
    from: number,
    to: number,
  ): AccountLimit[] {
    const past = this.past.get(account)!;
    const kept = past.filter((one, at) => {
      const next = past[at + 1];
      return one.from <= to && (!next || next.from >= from);
    });
    return kept.map(({limit}) => limit);
  }

  private excessOf({account, ran}: Callers): string[] {
    let first = 0;
    for (const [last, at] of ran.entries()) {
      while (at - ran[first]! > PRECISION.windowMs) first++;
      const limits = this.limitsWithin(account, ran[first]! - LOWERED_MS, at);
      const most = Math.max(...limits.map(allowed));
      const count = last - first + 1;
      if (count > most) return [`${account}: ${count} of ${most} until ${at}`];
    }
    return [];
  }
}

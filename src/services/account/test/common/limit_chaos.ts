import type {SeededRandom} from '../../../../base/common/random';
import type {AccountLimit} from '../../../../schema/generated/fleet';
import {totalRateLimit} from '../../common/limit_precision';
import {PRECISION} from './limit_fleet';
import {
  allowedInWindow,
  LimitSimulation,
  type Callers,
} from './limit_simulation';

/** A counter without control applies an old limit for a lease and margins. */
const LOWERED_LIMIT_MS = 8_500;
const USUAL_FRACTION = 1 / 1.6;
const FLOOD_FRACTION = 7.5 * USUAL_FRACTION;

/** A limit and when it took effect. */
interface PastLimit {
  readonly from: number;
  readonly limit: AccountLimit;
}

/** Injects random faults, load and changes into a simulation. */
export class LimitChaos {
  private readonly pastLimits = new Map<string, PastLimit[]>();
  private addedCount = 0;
  /** Times at which shares exceeded a limit together. */
  readonly errors: string[] = [];

  constructor(
    readonly simulation: LimitSimulation,
    private readonly random: SeededRandom,
  ) {
    for (const {account, limit} of simulation.callers) {
      this.pastLimits.set(account, [{from: 0, limit}]);
    }
  }

  /** Injects faults for some time. */
  run(milliseconds: number): void {
    const {timeline} = this.simulation;
    const until = timeline.now() + milliseconds;
    while (timeline.now() < until) {
      this.disturb();
      const untilNext = timeline.now() + this.random.integer(20, 1_200);
      while (timeline.now() < untilNext) {
        this.simulation.run(20);
        this.check();
      }
    }
  }

  /** Returns the accounts that exceeded all limits of some window. */
  excesses(): string[] {
    return this.simulation.callers.flatMap(callers => this.excessOf(callers));
  }

  private disturb(): void {
    const {random} = this;
    switch (random.integer(0, 13)) {
      case 0:
        return this.simulation.fleet.electLeader();
      case 1:
        return this.loseControl(random.integer(100, 3_000));
      case 2:
      case 3:
        return this.partitionSome(random.integer(20, 9_000));
      case 4:
      case 5:
        return this.restartOne();
      case 6:
        return this.restartAll();
      case 7:
        return this.changeLimit();
      case 8:
        return this.replaceCounter();
      case 9:
        return this.simulation.addProxy();
      case 10:
        return this.simulation.setLoad(USUAL_FRACTION);
      case 11:
        return this.floodTwo();
      default:
        return this.simulation.setLoad(FLOOD_FRACTION);
    }
  }

  private loseControl(milliseconds: number): void {
    const {fleet, timeline} = this.simulation;
    fleet.loseLeader();
    timeline.after(milliseconds, () => {
      if (!fleet.leader) fleet.electLeader();
    });
  }

  private partitionSome(milliseconds: number): void {
    for (const node of this.simulation.fleet.nodes) {
      if (this.random.integer(0, 2) > 0) continue;
      node.isOffline = true;
      this.simulation.timeline.after(
        milliseconds,
        () => (node.isOffline = false),
      );
    }
  }

  private restartOne(): void {
    const node = this.random.pick(this.simulation.fleet.nodes);
    node.restart(this.random.integer(20, 1_500));
  }

  private restartAll(): void {
    for (const node of this.simulation.fleet.nodes) {
      node.restart(this.random.integer(300, 1_500));
    }
    this.loseControl(this.random.integer(300, 1_500));
  }

  private changeLimit(): void {
    const callers = this.random.pick(this.simulation.callers);
    const perSecond = this.random.integer(5, 393);
    const burst = perSecond / this.random.integer(1, 2);
    callers.limit = {perSecond, burst};
    const from = this.simulation.timeline.now();
    this.pastLimits.get(callers.account)!.push({from, limit: callers.limit});
    this.simulation.publishLimits();
  }

  private replaceCounter(): void {
    const {fleet} = this.simulation;
    const active = [...fleet.active];
    const old = active.splice(this.random.integer(0, active.length - 1), 1);
    const region = fleet.nodes.find(({name}) => name === old[0])!.region;
    const name = `n${this.addedCount++}`;
    fleet.addNode(name, region);
    fleet.setCounters([...active, name], [...fleet.retiring, ...old]);
  }

  private floodTwo(): void {
    this.simulation.setLoad(USUAL_FRACTION);
    for (let count = 0; count < 2; count++) {
      const callers = this.random.pick(this.simulation.callers);
      callers.perSecond = callers.limit.perSecond * FLOOD_FRACTION;
    }
  }

  private check(): void {
    const now = this.simulation.timeline.now();
    for (const [account, held] of this.simulation.fleet.sharesInForce()) {
      const limits = this.limitsWithin(
        account,
        now - LOWERED_LIMIT_MS,
        now,
      ).map(limit => totalRateLimit(limit, PRECISION));
      const rate = Math.max(...limits.map(({perSecond}) => perSecond));
      const depth = Math.max(...limits.map(one => one.depth));
      const ratio = Math.max(held.perSecond / rate, held.depth / depth);
      if (ratio > 1 + 1e-9) this.errors.push(`${account} ${ratio} at ${now}`);
    }
  }

  private limitsWithin(
    account: string,
    from: number,
    to: number,
  ): AccountLimit[] {
    const pastLimits = this.pastLimits.get(account)!;
    const kept = pastLimits.filter((one, at) => {
      const next = pastLimits[at + 1];
      return one.from <= to && (!next || next.from >= from);
    });
    return kept.map(({limit}) => limit);
  }

  private excessOf({account, ranAt}: Callers): string[] {
    let first = 0;
    for (const [last, at] of ranAt.entries()) {
      while (at - ranAt[first]! > PRECISION.windowMs) first++;
      const limits = this.limitsWithin(
        account,
        ranAt[first]! - LOWERED_LIMIT_MS,
        at,
      );
      const max = Math.max(...limits.map(allowedInWindow));
      const count = last - first + 1;
      if (count > max) return [`${account}: ${count} of ${max} until ${at}`];
    }
    return [];
  }
}

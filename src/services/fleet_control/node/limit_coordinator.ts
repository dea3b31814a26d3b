import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import type {Catalog, CounterEntry} from '../../../schema/generated/fleet';
import {
  CounterPlanner,
  type CounterCandidate,
  type CounterChange,
} from '../../account/common/counter_plan';
import type {ShareAllocator} from '../../account/common/permit_counting';
import type {LimitPrecision} from '../../account/common/limit_precision';
import {LimitAllocator} from '../../account/common/limit_allocator';
import type {ConsensusNode} from '../../consensus/node/consensus_node';
import {encodeCommand} from '../../fleet_state/common/fleet_command';
import type {FleetStateMachine} from '../../fleet_state/common/fleet_state_machine';
import type {SingleFlight} from '../common/single_flight';

/** What the counting of accounts is built on. */
export interface LimitCoordinatorDependencies {
  readonly limitPrecision: LimitPrecision;
  /** How long shares hold without a word of control, in milliseconds. */
  readonly shareLeaseMs: number;
  readonly node: Pick<ConsensusNode, 'propose'>;
  readonly machine: Pick<FleetStateMachine, 'counters'>;
  readonly clock: Clock;
  readonly log: Log;
  regionOf(site: string): string;
  catalog(): Catalog | undefined;
}

/** Names counters and divides limits among them, during one leadership. */
export class LimitCoordinator {
  private readonly allocator: ShareAllocator;
  private readonly planner: CounterPlanner;
  private knownCounters: readonly CounterEntry[] | undefined;
  /** The catalog whose limits the allocator has. */
  private knownVersion = 0;

  constructor(
    private readonly around: LimitCoordinatorDependencies,
    private readonly proposals: SingleFlight,
  ) {
    const {clock, limitPrecision, shareLeaseMs} = around;
    const now = clock.now();
    this.allocator = new LimitAllocator(now, limitPrecision, shareLeaseMs);
    this.planner = new CounterPlanner(now);
  }

  /** Who divides the limits in force among the counters in the log. */
  get shares(): ShareAllocator {
    const {machine, clock} = this.around;
    const {counters} = machine;
    if (this.knownCounters !== counters) {
      this.knownCounters = counters;
      this.allocator.setCounters(counters, clock.now());
    }
    const catalog = this.around.catalog();
    if (catalog && catalog.version !== this.knownVersion) {
      this.knownVersion = catalog.version;
      this.allocator.setAccounts(catalog.accounts, clock.now());
    }
    return this.allocator;
  }

  /** Names counters anew where proxies or limits came or went. */
  reconcile(attached: readonly CounterCandidate[]): void {
    if (this.proposals.isRunning('counters')) return;
    const {machine, clock, node, catalog} = this.around;
    const {shares} = this;
    const now = clock.now();
    const accounts = catalog()?.accounts ?? [];
    const need = {
      hasLimits: accounts.some(({limit}) => limit !== undefined),
      regionOf: this.around.regionOf,
      canRemove: (instance: string) => shares.canRemove(instance, now),
    };
    const plan = this.planner.plan(need, attached, machine.counters, now);
    if (!plan) return;
    const {counters, changes} = plan;
    const body = {$case: 'nameCounters', value: {counters}} as const;
    this.proposals.start('counters', async () => {
      const done = await node.propose(encodeCommand(body));
      this.logChanges(changes, done.isOk ? 'in force' : done.error);
    });
  }

  private logChanges(changes: readonly CounterChange[], outcome: string): void {
    for (const {instance, kind, reason} of changes) {
      this.around.log.info(SENTENCES[kind], {instance, reason, outcome});
    }
  }
}

const SENTENCES: Readonly<Record<CounterChange['kind'], string>> = {
  named: 'Names a counter.',
  moved: 'A counter has another address.',
  retiring: 'A counter retires.',
  removed: 'A counter is no more.',
};

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
import type {SingleFlight} from './single_flight';

/** The dependencies of `LimitCoordinator`. */
export interface LimitCoordinatorDependencies {
  readonly limitPrecision: LimitPrecision;
  /** How long shares stay valid without contact to control, in milliseconds. */
  readonly shareLeaseMs: number;
  readonly node: Pick<ConsensusNode, 'propose'>;
  readonly machine: Pick<FleetStateMachine, 'counters'>;
  readonly clock: Clock;
  readonly log: Log;
  regionOf(site: string): string;
  catalog(): Catalog | undefined;
}

/**
 * Assigns counters and divides account limits among them, during one
 * leadership.
 */
export class LimitCoordinator {
  private readonly allocator: ShareAllocator;
  private readonly planner: CounterPlanner;
  private allocatorCounters: readonly CounterEntry[] | undefined;
  /** Version of the catalog whose limits the allocator uses. */
  private allocatorCatalogVersion = 0;

  constructor(
    private readonly dependencies: LimitCoordinatorDependencies,
    private readonly proposals: SingleFlight,
  ) {
    const {clock, limitPrecision, shareLeaseMs} = dependencies;
    const now = clock.now();
    this.allocator = new LimitAllocator(now, limitPrecision, shareLeaseMs);
    this.planner = new CounterPlanner(now);
  }

  /** The allocator, updated to the current counters and catalog. */
  get shares(): ShareAllocator {
    const {machine, clock} = this.dependencies;
    const {counters} = machine;
    if (this.allocatorCounters !== counters) {
      this.allocatorCounters = counters;
      this.allocator.setCounters(counters, clock.now());
    }
    const catalog = this.dependencies.catalog();
    if (catalog && catalog.version !== this.allocatorCatalogVersion) {
      this.allocatorCatalogVersion = catalog.version;
      this.allocator.setAccounts(catalog.accounts, clock.now());
    }
    return this.allocator;
  }

  /** Reassigns counters if proxies or limits changed. */
  reconcile(attached: readonly CounterCandidate[]): void {
    if (this.proposals.isRunning('counters')) return;
    const {machine, clock, node, catalog} = this.dependencies;
    const {shares} = this;
    const now = clock.now();
    const accounts = catalog()?.accounts ?? [];
    const requirements = {
      hasLimits: accounts.some(({limit}) => limit !== undefined),
      regionOf: this.dependencies.regionOf,
      canRemove: (instance: string) => shares.canRemove(instance, now),
    };
    const plan = this.planner.plan(
      requirements,
      attached,
      machine.counters,
      now,
    );
    if (!plan) return;
    const {counters, changes} = plan;
    const body = {$case: 'nameCounters', value: {counters}} as const;
    this.proposals.start('counters', async () => {
      const proposed = await node.propose(encodeCommand(body));
      this.logChanges(changes, proposed.isOk ? 'committed' : proposed.error);
    });
  }

  private logChanges(changes: readonly CounterChange[], outcome: string): void {
    for (const {instance, kind, reason} of changes) {
      this.dependencies.log.info(LOG_MESSAGES[kind], {
        instance,
        reason,
        outcome,
      });
    }
  }
}

const LOG_MESSAGES: Readonly<Record<CounterChange['kind'], string>> = {
  named: 'Names a counter.',
  moved: 'A counter changed its address.',
  retiring: 'A counter is retiring.',
  removed: 'Removed a counter.',
};

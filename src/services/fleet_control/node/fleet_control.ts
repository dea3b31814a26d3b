import type {Clock} from '../../../base/common/clock';
import {RepeatLimit} from '../../../base/common/repeat_limit';
import {err, ok, type Result} from '../../../base/common/result';
import type {Log} from '../../../base/node/log';
import {createAbortController, every} from '../../../base/node/timers';
import type {Catalog, Member} from '../../../schema/generated/fleet';
import type {LimitPrecision} from '../../account/common/limit_precision';
import type {ShareAllocator} from '../../account/common/permit_counting';
import type {CatalogReader} from '../../catalog/common/catalog';
import {MAX_CATALOG_BYTES} from '../../catalog/common/catalog_transport';
import type {ConsensusNode} from '../../consensus/node/consensus_node';
import {encodeCommand} from '../../fleet_state/common/fleet_command';
import type {FleetLeader} from '../../fleet_link/node/fleet_leader';
import type {PublishOutcome} from '../../fleet_state/common/committed_catalogs';
import type {FleetStateMachine} from '../../fleet_state/common/fleet_state_machine';
import type {GroupMembership} from '../../membership/node/group_membership';
import {PoolerPlanner} from '../../pooler/common/pooler_planner';
import {PublishedPrimaries} from '../../lease/common/published_primaries';
import {LeaseHolders} from '../../lease/common/lease_holders';
import {
  formatPosition,
  ORIGIN_POSITION,
  type Position,
} from '../../position/common/position';
import {Departures} from '../../roster/common/departures';
import {Roster, type Announcement} from '../../roster/common/roster';
import {
  compressSource,
  decompressSource,
  type CommittedCatalogReader,
} from './catalog_source';
import {SingleFlight} from './single_flight';
import {StableCount} from '../common/stable_count';
import type {PromotionView} from '../common/promotion_metrics';
import {LeadershipRequests} from './leadership_requests';
import {LimitCoordinator} from './limit_coordinator';
import type {ConnectionAllocator} from '../../connection_quota/common/connection_allocator';
import {ConnectionAllocation} from '../../connection_quota/common/connection_allocation';
import {ServicePromotions, type MemberAccess} from './service_promotions';

/** Why control cannot confirm a request now. */
export type UnavailableReason =
  'not leading' | 'too few voters' | 'unconfirmed';

/** The outcome of a submitted catalog. */
export type SubmitOutcome =
  | {readonly kind: PublishOutcome}
  | {readonly kind: 'invalid'; readonly reason: string};

/** The outcome of an announcement. */
export type AnnounceOutcome = 'taken' | 'not leading' | 'unknown service';

/** The dependencies of `FleetControl`. */
export interface FleetControlDependencies {
  readonly holder: string;
  readonly membership: GroupMembership;
  readonly limitPrecision: LimitPrecision;
  /**
   * How long shares of account limits stay valid without contact to control, in
   * milliseconds.
   */
  readonly shareLeaseMs: number;
  readonly node: ConsensusNode;
  readonly machine: FleetStateMachine;
  readonly reader: CatalogReader;
  readonly committedCatalogs: CommittedCatalogReader;
  readonly memberAccess: MemberAccess;
  readonly clock: Clock;
  readonly log: Log;
  regionOf(site: string): string;
}

const RECONCILE_INTERVAL_MS = 200;
const LOSS_REASONS = {
  silent: 'it is silent',
  replaced: 'another member uses its address',
} as const;
const ENDED_LOG_INTERVAL_MS = 10_000;
/** Silence after which a member is removed. */
const REMOVE_SILENT_AFTER_MS = 20_000;

/**
 * The decisions of control for services whose members confirm commits
 * themselves.
 */
export class FleetControl {
  private roster = new Roster();
  private departures = new Departures();
  /** Removals of members that are under way. */
  private readonly removals = new Map<string, Promise<boolean>>();
  private leadership = createAbortController();
  private promotions: ServicePromotions | undefined;
  private readonly proposals = new SingleFlight();
  private poolerPlanner = new PoolerPlanner(0);
  private stableProxyCount = new StableCount();
  private leadingSince = Infinity;
  private currentPrimaries = new PublishedPrimaries();
  private leaseHolders = new LeaseHolders(Infinity);
  private limitCoordinator: LimitCoordinator;
  private readonly connectionAllocation: ConnectionAllocation;
  /** Limits the lines about late announcements. */
  private readonly endedNotices: RepeatLimit;
  leader: FleetLeader | undefined;

  constructor(private readonly dependencies: FleetControlDependencies) {
    const {clock} = dependencies;
    this.endedNotices = new RepeatLimit(ENDED_LOG_INTERVAL_MS, clock);
    this.limitCoordinator = this.makeLimitCoordinator();
    this.connectionAllocation = new ConnectionAllocation({
      catalog: () => this.catalog(),
      members: () => this.roster.all(),
      membersRevision: () => this.roster.revision,
      poolers: () => dependencies.machine.poolers,
      capacities: () =>
        this.leader?.attached.map(follower => follower.capacity) ?? [],
    });
  }

  start(signal: AbortSignal): void {
    every(signal, RECONCILE_INTERVAL_MS, () => this.reconcile());
    signal.addEventListener('abort', () => this.leadership.abort(), {
      once: true,
    });
  }

  get isLeading(): boolean {
    return this.dependencies.node.isLeading;
  }

  get members(): readonly Member[] {
    return this.roster.all();
  }

  get membersRevision(): number {
    return this.roster.revision;
  }

  /** The catalog in force; undefined before the first one. */
  catalog(): Catalog | undefined {
    const {machine, committedCatalogs} = this.dependencies;
    const {catalogInForce} = machine;
    if (catalogInForce.version === 0) return undefined;
    return committedCatalogs.catalogOf(catalogInForce);
  }

  /** The state of the promotions of all services, while this instance leads. */
  get promotionViews(): PromotionView[] {
    const states = [...(this.promotions?.states ?? [])];
    return states.map(([service, {waitingMs, mayTakeEffect, heldMs}]) => {
      const {former} = this.dependencies.machine.baselineOf(service);
      const state = {service, waitingMs, mayTakeEffect, heldMs};
      return {...state, formerMemberCount: former.length};
    });
  }

  /** The primaries that are published to proxies. */
  get publishedPrimaries(): PublishedPrimaries {
    return this.currentPrimaries;
  }

  /** The proxies that hold leases on primaries. */
  get holders(): LeaseHolders {
    return this.leaseHolders;
  }

  /** Divides account limits among the counters. */
  get shares(): ShareAllocator {
    return this.limitCoordinator.shares;
  }

  /** Divides connections to members among the poolers. */
  get connectionAllocator(): ConnectionAllocator {
    return this.connectionAllocation.currentAllocator;
  }

  /** Resets the state of a leadership when it begins or ends. */
  onDidChangeRole(isLeader: boolean): void {
    const wasLeader = this.leadingSince !== Infinity;
    this.dependencies.membership.onDidChangeRole();
    this.leadership.abort();
    this.leadership = createAbortController();
    this.promotions = undefined;
    this.roster = new Roster();
    this.departures = new Departures();
    this.poolerPlanner = new PoolerPlanner(this.dependencies.clock.now());
    this.leadingSince = isLeader ? this.dependencies.clock.now() : Infinity;
    this.stableProxyCount = new StableCount();
    this.currentPrimaries = new PublishedPrimaries();
    this.leaseHolders = new LeaseHolders(this.leadingSince);
    this.limitCoordinator = this.makeLimitCoordinator();
    this.connectionAllocation.onDidBecomeLeader(this.dependencies.clock.now());
    // Proxies that wait for an election stay connected here; they would be
    // slower to find the leader themselves.
    if (wasLeader && !isLeader) this.leader?.onDidLoseLeadership();
    this.leader?.push();
  }

  /** Publishes the state after entries of the log were applied. */
  onDidApply(): void {
    if (!this.isLeading) return;
    this.restoreMembers();
    for (const assignment of this.dependencies.machine.assignments) {
      this.currentPrimaries.offer(assignment);
    }
  }

  /**
   * Proposes a complete catalog to the log. The outcome is known once the entry
   * is committed.
   */
  async submitCatalog(
    source: string,
  ): Promise<Result<SubmitOutcome, UnavailableReason>> {
    const {reader, node, machine, membership, log} = this.dependencies;
    const read = reader.read(source);
    if (read.isErr) {
      log.info('Rejected an invalid catalog.', {reason: read.error.reason});
      return ok({kind: 'invalid', reason: read.error.reason});
    }
    if (!this.isLeading) return err('not leading');
    if (!membership.hasEnoughVoters) return err('too few voters');
    const {catalog, canonicalText} = read.value;
    const {version} = catalog;
    const compressed = compressSource(canonicalText);
    if (compressed.length > MAX_CATALOG_BYTES) {
      const reason = `${compressed.length} bytes after compression`;
      log.info('Rejected an invalid catalog.', {reason});
      return ok({kind: 'invalid', reason});
    }
    const body = {
      $case: 'publish',
      value: {version, source: compressed},
    } as const;
    const proposed = await node.propose(encodeCommand(body));
    if (proposed.isErr) {
      log.warn('The outcome of a submitted catalog is unknown.', {version});
      return err('unconfirmed');
    }
    const kind = machine.takeOutcome(proposed.value);
    if (!kind) return err('unconfirmed');
    log.info('Committed a submitted catalog.', {
      version,
      outcome: kind,
      index: proposed.value,
    });
    this.leader?.push();
    return ok({kind});
  }

  /**
   * Returns the source of the newest catalog, after a majority confirmed this
   * leader.
   */
  async readCatalogSource(): Promise<
    Result<string | undefined, UnavailableReason>
  > {
    const {node, machine} = this.dependencies;
    if (!this.isLeading) return err('not leading');
    const confirmed = await node.confirmLeadership();
    if (confirmed.isErr) return err('unconfirmed');
    const {version, source} = machine.catalogInForce;
    return ok(version === 0 ? undefined : decompressSource(source));
  }

  /** Applies an announcement of a member whose service is defined. */
  announce(announcement: Announcement): AnnounceOutcome {
    if (!this.isLeading) return 'not leading';
    const {member} = announcement;
    // Guard: announcements for undefined services would fill the log.
    if (!this.isDefined(member.service)) return 'unknown service';
    // Guard: a heartbeat that arrives after its sender left would add a member
    // that never replies to a promotion.
    if (this.departures.includes(member)) return 'taken';
    if (this.dependencies.machine.hasEnded(member)) {
      this.logEnded(member);
      return 'taken';
    }
    const previous = this.roster.get(member.instance);
    const revision = this.roster.revision;
    this.roster.announce(announcement, this.dependencies.clock.now());
    if (revision !== this.roster.revision) {
      const {instance, service, address, role, draining} = member;
      const fields = {instance, service, address, role, draining};
      const known = previous !== undefined;
      this.dependencies.log.info('A member announced a change.', {
        ...fields,
        known,
      });
      this.leader?.schedulePush();
      // Not for every announcement: the cost would grow with the square of the
      // number of members.
      this.reconcilePromotions();
    }
    this.recordMember(member);
    return 'taken';
  }

  /** A member that goes on is logged again and again. */
  private logEnded({instance, service, address}: Member): void {
    const suppressed = this.endedNotices.take(instance);
    if (suppressed === undefined) return;
    const fields = {instance, service, address, suppressed};
    const message = 'Ignored an announcement of a member that has ended.';
    this.dependencies.log.warn(message, fields);
  }

  private confirmationsOf(service: string): number {
    const services = this.catalog()?.services ?? [];
    const entry = services.find(other => other.service === service);
    // A service without an entry keeps the usual guarantee.
    return entry?.confirmations ?? 1;
  }

  /** Any service counts as defined before the first catalog. */
  private isDefined(service: string): boolean {
    const services = this.catalog()?.services;
    return services?.some(entry => entry.service === service) ?? true;
  }

  /** Removes a member that announced its end. */
  removeMember(instance: string): Promise<boolean> {
    if (!this.isLeading) return Promise.resolve(false);
    const running = this.removals.get(instance);
    if (running) return running;
    const member = this.roster.get(instance);
    if (!member) return Promise.resolve(true);
    const removal = this.removeLeavingMember(member).finally(() => {
      this.removals.delete(instance);
    });
    this.removals.set(instance, removal);
    return removal;
  }

  private async removeLeavingMember(member: Member): Promise<boolean> {
    const {departures} = this;
    const requests = this.leadershipRequests();
    const {instance, service} = member;
    departures.begin(member);
    this.roster.remove(instance);
    this.leader?.push();
    const [end, logs = ''] = await Promise.all([
      this.promotions?.leavingReplicas.stop(member),
      this.promotions?.readLogs(service),
    ]);
    const stoppedAt = end ? formatPosition(end) : 'unknown';
    const fields = {instance, service, stoppedAt, others: logs};
    this.dependencies.log.info('A member left.', fields);
    const done = await this.forget(requests, member, end, 'left');
    if (done) departures.complete(instance);
    else departures.cancel(instance);
    return done;
  }

  /** Removes a member that ended without a word, or cannot be reached. */
  private removeLostMember(
    member: Member,
    reason: 'silent' | 'replaced',
  ): void {
    const {instance, service, address, born} = member;
    const key = `forget ${instance}`;
    if (this.proposals.isRunning(key)) return;
    const fields = {instance, service, address, reason: LOSS_REASONS[reason]};
    this.dependencies.log.warn('Removing a lost member.', fields);
    const requests = this.leadershipRequests();
    this.proposals.start(key, async () => {
      const done = await this.forget(requests, member, undefined, reason);
      const current = this.roster.get(instance);
      const hasReturned = current?.born !== born || current.address !== address;
      if (!done || hasReturned) return;
      this.roster.remove(instance);
      this.leader?.push();
    });
  }

  /** Removes a member from the control log, together with its log. */
  private async forget(
    requests: LeadershipRequests,
    {instance, service, born, address}: Member,
    end: Position | undefined,
    reason: 'left' | 'silent' | 'replaced',
  ): Promise<boolean> {
    const {term, offset} = end ?? ORIGIN_POSITION;
    const value = {
      instance,
      service,
      born,
      address: reason === 'replaced' ? address : '',
      stopped: end !== undefined,
      term,
      offset,
      left: reason === 'left',
      replaced: reason === 'replaced',
    };
    const body = {$case: 'forget', value} as const;
    const proposed = await requests.propose(encodeCommand(body));
    return proposed.isOk;
  }

  /** Requests that end with the current leadership. */
  private leadershipRequests(): LeadershipRequests {
    const {node} = this.dependencies;
    return new LeadershipRequests(node, this.leadership.signal);
  }

  private makeLimitCoordinator(): LimitCoordinator {
    const dependencies = {...this.dependencies, catalog: () => this.catalog()};
    return new LimitCoordinator(dependencies, this.proposals);
  }

  private restoreMembers(): void {
    for (const member of this.dependencies.machine.members) {
      if (!this.departures.includes(member)) this.roster.restore(member);
    }
  }

  private reconcile(): void {
    if (!this.isLeading) return;
    this.restoreMembers();
    this.dependencies.membership.reconcile();
    this.removeSilentMembers();
    this.removeReplacedMembers();
    this.promotions?.formerMembers.reconcile();
    this.promotions?.leavingReplicas.reconcile();
    this.reconcilePoolers();
    this.recordProxyCount();
    this.limitCoordinator.reconcile(this.leader?.attached ?? []);
    this.connectionAllocation.checkCapacities();
    this.reconcilePromotions();
  }

  private reconcilePromotions(): void {
    if (!this.isLeading || !this.leader) return;
    this.promotions ??= new ServicePromotions(
      {
        ...this.dependencies,
        roster: this.roster,
        departures: this.departures,
        confirmationsOf: service => this.confirmationsOf(service),
        publishedPrimaries: this.currentPrimaries,
        holders: this.leaseHolders,
        leader: this.leader,
      },
      this.leadership.signal,
    );
    this.promotions.reconcile();
  }

  /** Records a member in the log, so that its log counts at a promotion. */
  private recordMember(member: Member): void {
    const {instance, service, address, role, born} = member;
    const {machine} = this.dependencies;
    const recorded = machine.member(service, instance);
    if (recorded && born < recorded.born) return;
    // The role is recorded too: a new leader would otherwise direct proxies to
    // an old primary until the next heartbeats.
    const isSameIncarnation = recorded?.born === born;
    const isUnchanged =
      isSameIncarnation &&
      recorded.address === address &&
      recorded.role === role;
    const key = `admit ${instance}`;
    if (isUnchanged || this.proposals.isRunning(key)) return;
    const body = {$case: 'admit', value: {member}} as const;
    if (recorded && !isSameIncarnation) {
      const fields = {service, instance, born, before: recorded.born};
      this.dependencies.log.info('A member restarted.', fields);
    }
    this.proposals.start(key, async () => {
      await this.dependencies.node.propose(encodeCommand(body));
    });
  }

  /**
   * Removes members that are silent for long while the primary and another
   * replica of their service are healthy. They would delay each promotion.
   */
  private removeSilentMembers(): void {
    const now = this.dependencies.clock.now();
    if (now - this.leadingSince < REMOVE_SILENT_AFTER_MS) return;
    for (const member of this.roster.all()) {
      const {instance} = member;
      const lastHeardAt = Math.max(
        this.roster.lastHeardAt(instance),
        this.leadingSince,
      );
      if (now - lastHeardAt < REMOVE_SILENT_AFTER_MS) continue;
      if (!this.promotions?.isDispensable(member)) continue;
      this.removeLostMember(member, 'silent');
    }
  }

  /**
   * Removes members whose addresses other members use now. They would delay
   * each promotion, and never reply again under their instance.
   */
  private removeReplacedMembers(): void {
    for (const member of this.promotions?.replacedMembers() ?? []) {
      this.removeLostMember(member, 'replaced');
    }
  }

  /** Reassigns poolers if proxies or services changed. */
  private reconcilePoolers(): void {
    if (this.proposals.isRunning('poolers') || !this.leader) return;
    const {machine, clock, node, log} = this.dependencies;
    const poolers = this.poolerPlanner.plan(
      this.catalog()?.services ?? [],
      this.leader.attached,
      machine.poolers,
      clock.now(),
    );
    if (!poolers) return;
    const body = {$case: 'namePoolers', value: {poolers}} as const;
    this.proposals.start('poolers', async () => {
      const proposed = await node.propose(encodeCommand(body));
      const assigned = poolers
        .map(({service, instance}) => `${service}:${instance}`)
        .join(' ');
      const outcome = proposed.isOk ? 'committed' : proposed.error;
      log.info('Assigned the poolers.', {poolers: assigned, outcome});
    });
  }

  /** Records the number of proxies once it is stable. */
  private recordProxyCount(): void {
    if (this.proposals.isRunning('count') || !this.leader) return;
    const {machine, node, clock, log} = this.dependencies;
    const {length} = this.leader.attached;
    const proxies = this.stableProxyCount.observe(
      length,
      machine.expectedProxyCount,
      clock.now(),
    );
    if (proxies === undefined) return;
    const body = {$case: 'countProxies', value: {proxies}} as const;
    this.proposals.start('count', async () => {
      const proposed = await node.propose(encodeCommand(body));
      log.info('Recorded the number of proxies.', {
        proxies,
        done: proposed.isOk,
      });
    });
  }
}

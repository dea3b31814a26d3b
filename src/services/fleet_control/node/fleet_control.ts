import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {Clock} from '../../../base/common/clock';
import {err, ok, type Result} from '../../../base/common/outcome';
import type {Log} from '../../../base/node/log';
import {ownController, every} from '../../../base/node/timers';
import type {Catalog, Member} from '../../../schema/generated/fleet';
import type {LimitPrecision} from '../../account/common/limit_precision';
import type {ShareAllocator} from '../../account/common/permit_counting';
import type {CatalogReader} from '../../catalog/common/catalog';
import type {ConsensusNode} from '../../consensus/node/consensus_node';
import {encodeCommand} from '../../fleet_state/common/fleet_command';
import type {FleetLeader} from '../../fleet_link/node/fleet_leader';
import type {
  FleetStateMachine,
  PublishOutcome,
} from '../../fleet_state/common/fleet_state_machine';
import {planElasticMembership} from '../../membership/common/elastic_membership_plan';
import type {Joiner} from '../../membership/common/membership_plan';
import {PoolerPlanner} from '../../pooler/common/pooler_planner';
import {PublishedPrimaries} from '../../lease/common/published_primaries';
import {LeaseHolders} from '../../lease/common/lease_holders';
import {Roster, type Announcement} from '../../roster/common/roster';
import {SingleFlight} from '../common/single_flight';
import {StableCount} from '../common/stable_count';
import {LimitCoordinator} from './limit_coordinator';
import type {ConnectionAllocator} from '../../connection_quota/common/connection_allocator';
import {ConnectionAllocation} from '../../connection_quota/common/connection_allocation';
import {ServicePromotions, type MemberAccess} from './service_promotions';

/** Why control cannot answer for certain now. */
export type UnavailableReason =
  'not leading' | 'too few voters' | 'unconfirmed';

/** What an operator hears of a catalog that was handed in. */
export type SubmitOutcome =
  | {readonly kind: PublishOutcome}
  | {readonly kind: 'invalid'; readonly reason: string};

/** What became of an announcement. */
export type AnnounceOutcome = 'taken' | 'not leading' | 'unknown service';

/** What control is built on. */
export interface FleetControlDependencies {
  readonly holder: string;
  /** Voters that must hold something before it is acknowledged. */
  readonly desiredVoterCount: number;
  readonly limitPrecision: LimitPrecision;
  /** How long shares of limits hold without a word of control, in ms. */
  readonly shareLeaseMs: number;
  readonly node: ConsensusNode;
  readonly machine: FleetStateMachine;
  readonly reader: CatalogReader;
  readonly memberAccess: MemberAccess;
  readonly clock: Clock;
  readonly log: Log;
  regionOf(site: string): string;
}

const TEND_MS = 200;
/** A member that stayed silent for so long is forgotten, in milliseconds. */
const FORGET_SILENT_MS = 20_000;

/** The decisions of control where targets confirm commits themselves. */
export class FleetControl {
  private roster = new Roster();
  private term = ownController();
  private promotions: ServicePromotions | undefined;
  private readonly joiners = new Map<string, Joiner>();
  private readonly proposals = new SingleFlight();
  private planner = new PoolerPlanner(0);
  private usualCount = new StableCount();
  private leadingSince = Infinity;
  private leadBoard = new PublishedPrimaries();
  private leaseHolders = new LeaseHolders(Infinity);
  private counting: LimitCoordinator;
  private known: {version: number; catalog: Catalog} | undefined;
  private readonly controlRoom: ConnectionAllocation;
  leader: FleetLeader | undefined;

  constructor(private readonly around: FleetControlDependencies) {
    this.counting = this.makeCounting();
    this.controlRoom = new ConnectionAllocation({
      catalog: () => this.catalog(),
      members: () => this.roster.all(),
      membersRevision: () => this.roster.revision,
      poolers: () => around.machine.poolers,
      capacities: () => this.leader?.attached.map(one => one.capacity) ?? [],
    });
  }

  start(signal: AbortSignal): void {
    every(signal, TEND_MS, () => this.tend());
    signal.addEventListener('abort', () => this.term.abort(), {once: true});
  }

  get isLeading(): boolean {
    return this.around.node.core.isLeaderReady;
  }

  get members(): readonly Member[] {
    return this.roster.all();
  }

  get membersRevision(): number {
    return this.roster.revision;
  }

  /** The catalog in force, as proxies get it. */
  catalog(): Catalog | undefined {
    const {machine, reader} = this.around;
    const version = machine.catalogVersion;
    if (version === 0) return undefined;
    if (this.known?.version !== version) {
      const read = reader.read(inflate(machine.catalogSource));
      if (read.isErr) throw new Error(`catalog ${version} in the log`);
      this.known = {version, catalog: read.value.catalog};
    }
    return this.known.catalog;
  }

  /** Who leads which service, as proxies are told. */
  get publishedPrimaries(): PublishedPrimaries {
    return this.leadBoard;
  }

  /** The proxies that may rely on it. */
  get holders(): LeaseHolders {
    return this.leaseHolders;
  }

  /** Who divides the limits of accounts among the counters. */
  get shares(): ShareAllocator {
    return this.counting.shares;
  }

  /** Who may open how many connections to members. */
  get connectionAllocator(): ConnectionAllocator {
    return this.controlRoom.currentAllocator;
  }

  /** Begins or ends what only a leader does. */
  onDidChangeRole(isLeader: boolean): void {
    const wasLeader = this.leadingSince !== Infinity;
    this.term.abort();
    this.term = ownController();
    this.promotions = undefined;
    this.roster = new Roster();
    this.planner = new PoolerPlanner(this.around.clock.now());
    this.leadingSince = isLeader ? this.around.clock.now() : Infinity;
    this.usualCount = new StableCount();
    this.leadBoard = new PublishedPrimaries();
    this.leaseHolders = new LeaseHolders(this.leadingSince);
    this.counting = this.makeCounting();
    this.controlRoom.onDidBecomeLeader(this.around.clock.now());
    // Proxies that wait here for an election stay while this instance stands
    // for it: sent away, each of them came back 0.1 to 0.3 s after it.
    if (wasLeader && !isLeader) this.leader?.onDidLoseLeadership();
    this.leader?.push();
  }

  /** What a new state means for proxies. */
  onDidApply(): void {
    if (!this.isLeading) return;
    this.restoreMembers();
    for (const lead of this.around.machine.assignments) {
      this.leadBoard.offer(lead);
    }
  }

  onJoin(joiner: Joiner): void {
    this.joiners.set(joiner.id, joiner);
  }

  /** Puts a complete catalog into the log; the outcome once it is certain. */
  async submitCatalog(
    source: string,
  ): Promise<Result<SubmitOutcome, UnavailableReason>> {
    const {reader, node, machine, log} = this.around;
    const read = reader.read(source);
    if (read.isErr) {
      log.info('Refused a catalog.', {reason: read.error.reason});
      return ok({kind: 'invalid', reason: read.error.reason});
    }
    if (!this.isLeading) return err('not leading');
    if (!this.hasEnoughVoters) return err('too few voters');
    const {catalog, canonicalText} = read.value;
    const {version} = catalog;
    const compressed = deflateRawSync(Buffer.from(canonicalText));
    const body = {
      $case: 'publish',
      value: {version, source: compressed},
    } as const;
    const done = await node.propose(encodeCommand(body));
    if (done.isErr) {
      log.warn('Cannot tell what became of a catalog.', {version});
      return err('unconfirmed');
    }
    const kind = machine.takeOutcome(done.value);
    if (!kind) return err('unconfirmed');
    log.info('Took a catalog.', {version, outcome: kind, index: done.value});
    this.leader?.push();
    return ok({kind});
  }

  /** The newest catalog's source, if a majority confirms that it is. */
  async readCatalogSource(): Promise<
    Result<string | undefined, UnavailableReason>
  > {
    const {node, machine} = this.around;
    if (!this.isLeading) return err('not leading');
    const confirmed = await node.confirmLeadership();
    if (confirmed.isErr) return err('unconfirmed');
    if (machine.catalogVersion === 0) return ok(undefined);
    return ok(inflate(machine.catalogSource));
  }

  /** Takes an announcement of a member of a service that is defined. */
  announce(announcement: Announcement): AnnounceOutcome {
    if (!this.isLeading) return 'not leading';
    const {member} = announcement;
    // Guard: whoever writes under a made-up service would fill the log.
    if (!this.isDefined(member.service)) return 'unknown service';
    const before = this.roster.get(member.instance);
    const revision = this.roster.revision;
    this.roster.announce(announcement, this.around.clock.now());
    if (revision !== this.roster.revision) {
      const {instance, service, role, draining} = member;
      const fields = {instance, service, role, draining};
      const known = before !== undefined;
      this.around.log.info('A member announced a change.', {...fields, known});
      this.leader?.schedulePush();
      // At each announcement, a look at all members is their number squared.
      this.drive();
    }
    this.admit(member);
    return 'taken';
  }

  /** Members may come before the first catalog. */
  private isDefined(service: string): boolean {
    const services = this.catalog()?.services;
    return services?.some(entry => entry.service === service) ?? true;
  }

  /** Takes note that a member ended, with its log. */
  async removeMember(instance: string): Promise<boolean> {
    if (!this.isLeading) return false;
    const member = this.roster.get(instance);
    this.roster.remove(instance);
    this.leader?.push();
    if (!member) return true;
    const {service} = member;
    this.around.log.info('A member has left.', {instance, service});
    const body = {$case: 'forget', value: {service, instance}} as const;
    const done = await this.around.node.propose(encodeCommand(body));
    return done.isOk;
  }

  private makeCounting(): LimitCoordinator {
    const around = {...this.around, catalog: () => this.catalog()};
    return new LimitCoordinator(around, this.proposals);
  }

  private get hasEnoughVoters(): boolean {
    const {peers} = this.around.node.core.configuration;
    const voters = peers.filter(({voter}) => voter).length;
    return voters >= this.around.desiredVoterCount;
  }

  private restoreMembers(): void {
    for (const member of this.around.machine.members) {
      this.roster.restore(member);
    }
  }

  private tend(): void {
    if (!this.isLeading) return;
    this.restoreMembers();
    this.tendVoters();
    this.forgetSilent();
    this.promotions?.checkRecovering();
    this.tendPoolers();
    this.tendCount();
    this.counting.reconcile(this.leader?.attached ?? []);
    this.controlRoom.checkCapacities();
    this.drive();
  }

  private drive(): void {
    if (!this.isLeading || !this.leader) return;
    this.promotions ??= new ServicePromotions(
      {
        ...this.around,
        roster: this.roster,
        publishedPrimaries: this.leadBoard,
        holders: this.leaseHolders,
        leader: this.leader,
      },
      this.term.signal,
    );
    this.promotions.reconcile();
  }

  /** A member whose log may count at a promotion goes into the log. */
  private admit(member: Member): void {
    const {instance, service, address, role, born} = member;
    const {machine} = this.around;
    const known = machine.member(service, instance);
    if (known && born < known.born) return;
    // The role too: a new leader would else send proxies to an old primary
    // until the members' next heartbeats.
    const isSameLife = known?.born === born;
    const isKnown =
      isSameLife && known.address === address && known.role === role;
    const key = `admit ${instance}`;
    if (isKnown || this.proposals.isRunning(key)) return;
    // Before the first lead nothing was acknowledged that a log could lack.
    const isNewLife =
      !isSameLife && machine.assignmentOf(service) !== undefined;
    const recovering = isSameLife ? known.recovering : isNewLife;
    const value = {member: {...member, recovering}};
    const body = {$case: 'admit', value} as const;
    if (isNewLife) {
      const fields = {service, instance, born, before: known?.born ?? 0};
      this.around.log.info('A member joins with an unknown log.', fields);
    }
    this.proposals.start(key, async () => {
      await this.around.node.propose(encodeCommand(body));
    });
  }

  /**
   * A member that ended without a word would be waited for at each promotion.
   * It is forgotten once it was silent for long while another replica of its
   * service went on: what it held was received there since.
   */
  private forgetSilent(): void {
    const now = this.around.clock.now();
    if (now - this.leadingSince < FORGET_SILENT_MS) return;
    for (const member of this.roster.all()) {
      const {instance, service} = member;
      const heardAt = Math.max(
        this.roster.lastHeardAt(instance),
        this.leadingSince,
      );
      if (now - heardAt < FORGET_SILENT_MS) continue;
      if (!this.promotions?.isDispensable(member)) continue;
      this.around.log.warn('Forgets a silent member.', {instance, service});
      void this.removeMember(instance);
    }
  }

  /** Names poolers anew where proxies or services came or went. */
  private tendPoolers(): void {
    if (this.proposals.isRunning('poolers') || !this.leader) return;
    const {machine, clock, node, log} = this.around;
    const poolers = this.planner.plan(
      this.catalog()?.services ?? [],
      this.leader.attached,
      machine.poolers,
      clock.now(),
    );
    if (!poolers) return;
    const body = {$case: 'namePoolers', value: {poolers}} as const;
    this.proposals.start('poolers', async () => {
      const done = await node.propose(encodeCommand(body));
      const named = poolers
        .map(({service, instance}) => `${service}:${instance}`)
        .join(' ');
      const outcome = done.isOk ? 'in force' : done.error;
      log.info('Names the poolers.', {poolers: named, outcome});
    });
  }

  /** Notes how many proxies there usually are. */
  private tendCount(): void {
    if (this.proposals.isRunning('count') || !this.leader) return;
    const {machine, node, clock, log} = this.around;
    const {length} = this.leader.attached;
    const proxies = this.usualCount.observe(
      length,
      machine.expectedProxyCount,
      clock.now(),
    );
    if (proxies === undefined) return;
    const body = {$case: 'countProxies', value: {proxies}} as const;
    this.proposals.start('count', async () => {
      const done = await node.propose(encodeCommand(body));
      log.info('Notes the number of proxies.', {proxies, done: done.isOk});
    });
  }

  private tendVoters(): void {
    const {node, desiredVoterCount, clock} = this.around;
    const {core} = node;
    if (this.proposals.isRunning('voters')) return;
    if (!core.isConfigurationCommitted) return;
    const joiners = [...this.joiners.values()];
    this.joiners.clear();
    const next = planElasticMembership({
      configuration: core.configuration,
      joiners,
      desiredVoterCount,
      commitIndex: core.commitIndex,
      matchIndexOf: id => core.matchIndexOf(id),
      silentMsOf: id => core.silenceMsOf(id, clock.now()),
    });
    if (!next) return;
    this.proposals.start('voters', async () => {
      await node.changeConfiguration(next);
    });
  }
}

function inflate(source: Buffer): string {
  return inflateRawSync(source).toString();
}

import type {Clock} from '../../../base/common/clock';
import type {Result} from '../../../base/common/result';
import {detach} from '../../../base/node/broken_invariant';
import type {Log} from '../../../base/node/log';
import {
  ClaimedRole,
  type FleetCommand,
  type Member,
} from '../../../schema/generated/fleet';
import type {ConsensusNode} from '../../consensus/node/consensus_node';
import {encodeCommand} from '../../fleet_state/common/fleet_command';
import type {FleetStateMachine} from '../../fleet_state/common/fleet_state_machine';
import type {FleetLeader} from '../../fleet_link/node/fleet_leader';
import type {PublishedPrimaries} from '../../lease/common/published_primaries';
import type {LeaseHolders} from '../../lease/common/lease_holders';
import {PromotionDriver} from '../../promotion/node/promotion_driver';
import type {PromotionAccess} from '../../promotion/node/promotion_dependencies';
import {formatPosition, ORIGIN_POSITION} from '../../position/common/position';
import type {Departures} from '../../roster/common/departures';
import type {Roster} from '../../roster/common/roster';
import {FormerMembers} from './former_members';
import {LeadershipRequests} from './leadership_requests';
import {LeavingReplicaControl} from './leaving_replica_control';
import {MemberMonitors, type MonitorAccess} from './member_monitors';
import {ServiceGroups} from './service_groups';

/** Connects to members, reads their status and requests promotions. */
export interface MemberAccess extends MonitorAccess {
  readonly promotionAccess: PromotionAccess;
}

/** The dependencies of `ServicePromotions`, for one leadership. */
export interface ServicePromotionsDependencies {
  readonly holder: string;
  readonly node: ConsensusNode;
  readonly machine: FleetStateMachine;
  readonly roster: Roster;
  readonly departures: Departures;
  readonly publishedPrimaries: PublishedPrimaries;
  readonly holders: LeaseHolders;
  readonly leader: FleetLeader;
  readonly memberAccess: MemberAccess;
  readonly clock: Clock;
  readonly log: Log;
  /** How many replicas receive a commit before it is acknowledged. */
  confirmationsOf(service: string): number;
}

/** What a driver says of the promotions of its service. */
export type PromotionState = Pick<
  PromotionDriver,
  'waitingMs' | 'mayTakeEffect' | 'heldMs'
>;

/** Maximum silence of a member that counts as healthy. */
const MAX_HEALTHY_SILENCE_MS = 1_000;

/**
 * Monitors the members and drives the promotions of all services, during one
 * leadership.
 */
export class ServicePromotions {
  private readonly drivers = new Map<string, PromotionDriver>();
  private readonly groups: ServiceGroups;
  private readonly monitors: MemberMonitors;
  private readonly requests: LeadershipRequests;
  readonly formerMembers: FormerMembers;
  readonly leavingReplicas: LeavingReplicaControl;

  constructor(
    private readonly dependencies: ServicePromotionsDependencies,
    private readonly signal: AbortSignal,
  ) {
    const {memberAccess, clock, machine, roster} = dependencies;
    const {departures, node, log} = dependencies;
    this.requests = new LeadershipRequests(node, signal);
    const {requests} = this;
    this.monitors = new MemberMonitors(memberAccess, clock, signal);
    this.groups = new ServiceGroups(machine, roster, this.monitors);
    this.formerMembers = new FormerMembers(
      this.groups,
      departures,
      requests,
      log,
    );
    const access = {
      isSteady: (service: string) => {
        return this.drivers.get(service)?.isSteady === true;
      },
      confirmationsOf: (service: string) => {
        return dependencies.confirmationsOf(service);
      },
    };
    this.leavingReplicas = new LeavingReplicaControl(
      this.groups,
      access,
      requests,
      log,
    );
    this.logStart();
  }

  /**
   * Shows whether entries are committed but not applied yet, since decisions
   * would be based on older assignments.
   */
  private logStart(): void {
    const {node, machine, memberAccess, log} = this.dependencies;
    log.info('Starting the promotions of a leadership.', {
      term: node.core.currentTerm,
      commitIndex: node.core.commitIndex,
      appliedIndex: node.appliedIndex,
      assignments: machine.assignments.length,
      isFenced: memberAccess.promotionAccess.isFenced,
    });
  }

  /** Starts monitors of new members and ends those of removed ones. */
  reconcile(): void {
    const members = this.dependencies.roster.all();
    for (const member of members) {
      this.monitors.of(member);
      this.startDriver(member.service);
    }
    const current = members.map(({instance}) => instance);
    const instances = [...current, ...this.formerMembers.instances];
    this.monitors.keepOnly(new Set(instances));
  }

  /** The drivers of the services that have members. */
  get states(): ReadonlyMap<string, PromotionState> {
    return this.drivers;
  }

  /** Whether the service works without this silent member. */
  isDispensable(member: Member): boolean {
    const others = this.groups.membersOf(member.service).filter(other => {
      return other.instance !== member.instance;
    });
    const healthy = others.filter(other => {
      return this.monitors.of(other).silentMs < MAX_HEALTHY_SILENCE_MS;
    });
    const assignment = this.dependencies.machine.assignmentOf(member.service);
    const hasPrimary = healthy.some(
      ({instance}) => instance === assignment?.instance,
    );
    return hasPrimary && healthy.length >= 2;
  }

  /** The log positions that the members of a service report, for log lines. */
  async readLogs(service: string): Promise<string> {
    const reports = this.groups.membersOf(service).map(async member => {
      const end = await this.monitors.readEnd(member);
      const position = end && formatPosition(end);
      return `${member.instance}:${position ?? 'silent'}`;
    });
    return (await Promise.all(reports)).join(' ');
  }

  /** The members whose addresses other members use now. */
  replacedMembers(): Member[] {
    return this.dependencies.roster.all().filter(member => {
      // An earlier monitor knows of the address that the member had.
      return this.monitors.of(member).isReplaced;
    });
  }

  private startDriver(service: string): void {
    if (this.drivers.has(service)) return;
    const {
      holder,
      clock,
      log,
      memberAccess,
      roster,
      leader,
      publishedPrimaries,
      holders,
      machine,
    } = this.dependencies;
    const driver = new PromotionDriver({
      service,
      holder,
      clock,
      log,
      access: memberAccess.promotionAccess,
      members: () => this.groups.membersOf(service),
      isUncertain: member => this.groups.isUncertain(member),
      isStopped: member => this.leavingReplicas.isStopped(member),
      baseline: () => this.formerMembers.baselineOf(service),
      confirmations: () => this.dependencies.confirmationsOf(service),
      claimedPrimary: () => claimedPrimaryOf(roster, service),
      assignment: () => machine.assignmentOf(service),
      monitorOf: member => this.monitors.of(member),
      leadershipEndOf: epoch => this.dependencies.node.leadershipEndOf(epoch),
      failureReportsOf: instance => leader.failureReportsOf(service, instance),
      revokeLeases: () => {
        publishedPrimaries.revoke(service);
        leader.push();
      },
      isRevoked: () => {
        const epoch = publishedPrimaries.epochOf(service);
        return (
          publishedPrimaries.isRevoked(service) ||
          holders.hasReturned(service, epoch)
        );
      },
      leaseHolders: () => {
        return holders.holdersOf(
          service,
          publishedPrimaries.epochOf(service),
          clock.now(),
        );
      },
      confirmLeadership: () => this.requests.isLeadershipConfirmed(),
      assignPrimary: (instance, decision) => {
        const {isPending: ordered, isSingle: single, chosen} = decision;
        const {term, offset} = chosen?.end ?? ORIGIN_POSITION;
        const leadTerm = chosen?.leadTerm ?? 0;
        const log = {term, offset, leadTerm};
        const othersEnded = decision.haveOthersEnded;
        const requests = {ordered, othersEnded, single};
        const value = {service, holder, instance, ...requests, ...log};
        return this.propose({$case: 'nameLead', value});
      },
      recordCopies: async (epoch, state) => {
        const value = {service, epoch, answered: state === 'answered'};
        return (await this.propose({$case: 'recordCopies', value})).isOk;
      },
      completePromotion: async epoch => {
        const value = {service, epoch};
        return (await this.propose({$case: 'settleLead', value})).isOk;
      },
      onDidPromote: instance => {
        const current = machine.assignmentOf(service);
        if (current?.instance === instance) publishedPrimaries.publish(current);
        roster.setPrimary(service, instance);
        leader.push();
      },
    });
    this.drivers.set(service, driver);
    detach('promotion driver', driver.start(this.signal));
  }

  private propose(
    body: NonNullable<FleetCommand['body']>,
  ): Promise<Result<number, string>> {
    return this.requests.propose(encodeCommand(body));
  }
}

function claimedPrimaryOf(roster: Roster, service: string): Member | undefined {
  return roster.all().find(member => {
    const claimsPrimary = member.role === ClaimedRole.CLAIMED_ROLE_PRIMARY;
    return claimsPrimary && member.service === service;
  });
}

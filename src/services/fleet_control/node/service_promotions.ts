import type {Clock} from '../../../base/common/clock';
import type {Result} from '../../../base/common/outcome';
import type {Log} from '../../../base/node/log';
import {ownController} from '../../../base/node/timers';
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
import {
  MemberMonitor,
  pingIntervalMs,
} from '../../promotion/node/member_monitor';
import {PromotionDriver} from '../../promotion/node/promotion_driver';
import type {PromotionAccess} from '../../promotion/node/promotion_dependencies';
import {comparePositions} from '../../position/common/position';
import type {Roster} from '../../roster/common/roster';
import type {StatusReader} from '../../target_link/common/member_status';
import type {TargetConnector} from '../../target_link/common/target_link';

/** How members are reached and promoted. */
export interface MemberAccess {
  readonly connector: TargetConnector;
  readonly reader: StatusReader;
  readonly orders: PromotionAccess;
}

/** What the promotions of one leadership are built on. */
export interface ServicePromotionsDependencies {
  readonly holder: string;
  readonly node: ConsensusNode;
  readonly machine: FleetStateMachine;
  readonly roster: Roster;
  readonly publishedPrimaries: PublishedPrimaries;
  readonly holders: LeaseHolders;
  readonly leader: FleetLeader;
  readonly memberAccess: MemberAccess;
  readonly clock: Clock;
  readonly log: Log;
}

interface Watched {
  readonly watch: MemberMonitor;
  readonly address: string;
  end(): void;
}

/** Silent members that are missed must have been silent for all of this, ms. */
const HEALTHY_SILENCE_MS = 1_000;

/** The watches and drivers of one leadership, for all services. */
export class ServicePromotions {
  private readonly watches = new Map<string, Watched>();
  private readonly drivers = new Set<string>();
  /** Members that are asked whether they have caught up. */
  private readonly recoveries = new Set<string>();

  constructor(
    private readonly around: ServicePromotionsDependencies,
    private readonly signal: AbortSignal,
  ) {}

  /** Watches new members, and leaves those that are gone. */
  reconcile(): void {
    const members = this.around.roster.all();
    for (const member of members) {
      this.watchOf(member);
      this.startDriver(member.service);
    }
    for (const [instance, watched] of this.watches) {
      if (this.around.roster.get(instance)) continue;
      watched.end();
      this.watches.delete(instance);
    }
  }

  /** Whether a silent member's service goes on without it. */
  isDispensable(member: Member): boolean {
    const others = this.membersOf(member.service).filter(other => {
      return other.instance !== member.instance;
    });
    const healthy = others.filter(other => {
      return this.watchOf(other).silentMs < HEALTHY_SILENCE_MS;
    });
    const lead = this.around.machine.assignmentOf(member.service);
    const serves = healthy.some(({instance}) => instance === lead?.instance);
    return serves && healthy.length >= 2;
  }

  /**
   * Takes members whose log was not known to hold everything, and now is. What
   * the lead held after a member's life became known covers all that earlier
   * lives had confirmed.
   */
  checkRecovering(): void {
    for (const member of this.around.roster.all()) {
      const {instance, service} = member;
      const record = this.around.machine.member(service, instance);
      if (!record?.recovering || record.born !== member.born) continue;
      if (this.recoveries.has(instance)) continue;
      this.recoveries.add(instance);
      void this.recover(record).then(() => this.recoveries.delete(instance));
    }
  }

  private async recover(record: Member): Promise<void> {
    const {machine, roster, log} = this.around;
    const {service, instance, born} = record;
    const lead = roster.get(machine.assignmentOf(service)?.instance ?? '');
    if (!lead || lead.instance === instance) return;
    const wanted = await this.watchOf(lead).sendCommand({kind: 'status'});
    const held = await this.watchOf(record).sendCommand({kind: 'status'});
    if (!wanted?.isPrimary || !held) return;
    const holdsAll =
      comparePositions(held.receivedPosition, wanted.receivedPosition) >= 0;
    if (!holdsAll || roster.get(instance)?.born !== born) return;
    const member = {...record, recovering: false};
    const done = await this.propose({$case: 'admit', value: {member}});
    const at = `${held.receivedPosition.term}/${held.receivedPosition.offset}`;
    const fields = {service, instance, born, held: at, done: done.isOk};
    log.info('A member has caught up.', fields);
  }

  private membersOf(service: string): Member[] {
    return this.around.roster
      .all()
      .filter(other => other.service === service)
      .map(member => ({...member, recovering: this.isRecovering(member)}));
  }

  /**
   * Whether a member's log may lack what it confirmed. One that was connected
   * before and is again may have started anew meanwhile; its next announcement
   * tells.
   */
  private isRecovering(member: Member): boolean {
    const {machine, roster} = this.around;
    const record = machine.member(member.service, member.instance);
    if (record?.born !== member.born || record.recovering) return true;
    const {reconnectedAt} = this.watchOf(member);
    return roster.lastHeardAt(member.instance) < reconnectedAt;
  }

  private watchOf(member: Member): MemberMonitor {
    const known = this.watches.get(member.instance);
    if (known?.address === member.address) return known.watch;
    known?.end();
    const {memberAccess, clock} = this.around;
    const own = ownController();
    const end = () => own.abort();
    this.signal.addEventListener('abort', end, {once: true});
    const watch = new MemberMonitor(
      member,
      memberAccess.connector,
      memberAccess.reader,
      clock,
      own.signal,
      () => pingIntervalMs(this.watches.size),
    );
    const {address} = member;
    this.watches.set(member.instance, {watch, address, end});
    return watch;
  }

  private startDriver(service: string): void {
    if (this.drivers.has(service)) return;
    this.drivers.add(service);
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
    } = this.around;
    const driver = new PromotionDriver({
      service,
      holder,
      clock,
      log,
      access: memberAccess.orders,
      members: () => this.membersOf(service),
      claimedPrimary: () => claimantOf(roster, service),
      assignment: () => machine.assignmentOf(service),
      monitorOf: member => this.watchOf(member),
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
      confirmLeadership: () => this.around.node.isLeadershipConfirmed(),
      assignPrimary: (instance, ordered) => {
        const value = {service, holder, instance, ordered};
        return this.propose({$case: 'nameLead', value});
      },
      completePromotion: async epoch => {
        const value = {service, epoch};
        return (await this.propose({$case: 'settleLead', value})).isOk;
      },
      onDidPromote: instance => {
        const lead = machine.assignmentOf(service);
        if (lead?.instance === instance) publishedPrimaries.publish(lead);
        roster.setPrimary(service, instance);
        leader.push();
      },
    });
    void driver.start(this.signal);
  }

  private propose(
    body: NonNullable<FleetCommand['body']>,
  ): Promise<Result<number, string>> {
    return this.around.node.propose(encodeCommand(body));
  }
}

function claimantOf(roster: Roster, service: string): Member | undefined {
  return roster.all().find(member => {
    const leads = member.role === ClaimedRole.CLAIMED_ROLE_PRIMARY;
    return leads && member.service === service;
  });
}

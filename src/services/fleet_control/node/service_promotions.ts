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
import type {FleetMachine} from '../../fleet_state/common/fleet_machine';
import type {FleetLeader} from '../../fleet_link/node/fleet_leader';
import type {LeadBoard} from '../../lease/common/lead_board';
import type {LeaseHolders} from '../../lease/common/lease_holders';
import {MemberWatch, pingIntervalMs} from '../../promotion/node/member_watch';
import {PromotionDriver} from '../../promotion/node/promotion_driver';
import type {PromotionOrders} from '../../promotion/node/promotion_surroundings';
import {comparePositions} from '../../position/common/position';
import type {Roster} from '../../roster/common/roster';
import type {StatusReader} from '../../target_link/common/member_status';
import type {TargetConnector} from '../../target_link/common/target_link';

/** How members are reached and promoted. */
export interface PromotionMeans {
  readonly connector: TargetConnector;
  readonly reader: StatusReader;
  readonly orders: PromotionOrders;
}

/** What the promotions of one leadership are built on. */
export interface PromotionsSurroundings {
  readonly holder: string;
  readonly node: ConsensusNode;
  readonly machine: FleetMachine;
  readonly roster: Roster;
  readonly leads: LeadBoard;
  readonly holders: LeaseHolders;
  readonly leader: FleetLeader;
  readonly means: PromotionMeans;
  readonly clock: Clock;
  readonly log: Log;
}

interface Watched {
  readonly watch: MemberWatch;
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
    private readonly around: PromotionsSurroundings,
    private readonly signal: AbortSignal,
  ) {}

  /** Watches new members, and leaves those that are gone. */
  look(): void {
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
  canMiss(member: Member): boolean {
    const others = this.membersOf(member.service).filter(other => {
      return other.instance !== member.instance;
    });
    const healthy = others.filter(other => {
      return this.watchOf(other).silentMs < HEALTHY_SILENCE_MS;
    });
    const lead = this.around.machine.lead(member.service);
    const serves = healthy.some(({instance}) => instance === lead?.instance);
    return serves && healthy.length >= 2;
  }

  /**
   * Takes members whose log was not known to hold everything, and now is. What
   * the lead held after a member's life became known covers all that earlier
   * lives had confirmed.
   */
  tendRecovering(): void {
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
    const lead = roster.get(machine.lead(service)?.instance ?? '');
    if (!lead || lead.instance === instance) return;
    const wanted = await this.watchOf(lead).order({kind: 'status'});
    const held = await this.watchOf(record).order({kind: 'status'});
    if (!wanted?.leads || !held) return;
    const holdsAll = comparePositions(held.received, wanted.received) >= 0;
    if (!holdsAll || roster.get(instance)?.born !== born) return;
    const member = {...record, recovering: false};
    const done = await this.propose({$case: 'admit', value: {member}});
    const at = `${held.received.term}/${held.received.offset}`;
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
    const {reopenedAt} = this.watchOf(member);
    return roster.heardAt(member.instance) < reopenedAt;
  }

  private watchOf(member: Member): MemberWatch {
    const known = this.watches.get(member.instance);
    if (known?.address === member.address) return known.watch;
    known?.end();
    const {means, clock} = this.around;
    const own = ownController();
    const end = () => own.abort();
    this.signal.addEventListener('abort', end, {once: true});
    const watch = new MemberWatch(
      member,
      means.connector,
      means.reader,
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
    const {holder, clock, log, means, roster, leader, leads, holders, machine} =
      this.around;
    const driver = new PromotionDriver({
      service,
      holder,
      clock,
      log,
      orders: means.orders,
      members: () => this.membersOf(service),
      claimant: () => claimantOf(roster, service),
      lead: () => machine.lead(service),
      watchOf: member => this.watchOf(member),
      complaintsOf: instance => leader.complaintsOf(service, instance),
      revoke: () => {
        leads.revoke(service);
        leader.push();
      },
      isSpent: () => {
        const epoch = leads.epochOf(service);
        return leads.isRevoked(service) || holders.isSpent(service, epoch);
      },
      relying: () => {
        return holders.relyingOn(service, leads.epochOf(service), clock.now());
      },
      confirm: () => this.around.node.isConfirmed(),
      nameLead: (instance, ordered) => {
        const value = {service, holder, instance, ordered};
        return this.propose({$case: 'nameLead', value});
      },
      settleLead: async epoch => {
        const value = {service, epoch};
        return (await this.propose({$case: 'settleLead', value})).isOk;
      },
      onDidPromote: instance => {
        const lead = machine.lead(service);
        if (lead?.instance === instance) leads.confirm(lead);
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

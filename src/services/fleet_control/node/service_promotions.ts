import type {Clock} from '../../../base/common/clock';
import {err, ok, type Result} from '../../../base/common/outcome';
import type {Log} from '../../../base/node/log';
import {ownController} from '../../../base/node/timers';
import {ClaimedRole, type Member} from '../../../schema/generated/fleet';
import type {ConsensusNode} from '../../consensus/node/consensus_node';
import {encodeCommand} from '../../fleet_state/common/fleet_command';
import type {FleetLeader} from '../../fleet_link/node/fleet_leader';
import {
  MemberWatch,
  type StatusReader,
} from '../../promotion/node/member_watch';
import type {PromotionAuthority} from '../../promotion/node/promotion_authority';
import {PromotionDriver} from '../../promotion/node/promotion_driver';
import type {Roster} from '../../roster/common/roster';
import type {TargetConnector} from '../../target_link/common/target_link';

/** How members are reached and promoted. */
export interface PromotionMeans {
  readonly connector: TargetConnector;
  readonly reader: StatusReader;
  readonly authority: PromotionAuthority;
}

/** What the promotions of one leadership are built on. */
export interface PromotionsSurroundings {
  readonly holder: string;
  readonly node: ConsensusNode;
  readonly roster: Roster;
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
    const {roster} = this.around;
    const primary = primaryOf(roster, member.service);
    const serves = healthy.some(({instance}) => instance === primary?.instance);
    return serves && healthy.length >= 2;
  }

  private membersOf(service: string): Member[] {
    return this.around.roster.all().filter(other => other.service === service);
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
    );
    const {address} = member;
    this.watches.set(member.instance, {watch, address, end});
    return watch;
  }

  private startDriver(service: string): void {
    if (this.drivers.has(service)) return;
    this.drivers.add(service);
    const {holder, clock, log, means, roster, leader} = this.around;
    const driver = new PromotionDriver({
      service,
      holder,
      clock,
      log,
      authority: means.authority,
      members: () => this.membersOf(service),
      primary: () => primaryOf(roster, service),
      watchOf: member => this.watchOf(member),
      complaintsOf: instance => leader.complaintsOf(service, instance),
      begin: () => this.begin(service),
      onDidPromote: instance => {
        roster.setPrimary(service, instance);
        leader.push();
      },
    });
    void driver.start(this.signal);
  }

  private async begin(service: string): Promise<Result<number, string>> {
    const {node, holder} = this.around;
    const value = {service, holder};
    const done = await node.propose(
      encodeCommand({$case: 'beginPromotion', value}),
    );
    return done.isErr ? err(done.error) : ok(done.value);
  }
}

function primaryOf(roster: Roster, service: string): Member | undefined {
  return roster.all().find(member => {
    const leads = member.role === ClaimedRole.CLAIMED_ROLE_PRIMARY;
    return leads && member.service === service;
  });
}

import {detach} from '../../../base/node/broken_invariant';
import type {Log} from '../../../base/node/log';
import type {Member} from '../../../schema/generated/fleet';
import {formatPosition, type Position} from '../../position/common/position';
import {
  LeavingReplicas,
  type LeavingPlan,
} from '../../promotion/common/leaving_replicas';
import type {LeadershipRequests} from './leadership_requests';
import type {ServiceGroups} from './service_groups';

/** What decides whether replicas may be stopped. */
export interface LeavingReplicaAccess {
  /** Whether nobody else stops replicas of a service or resumes them. */
  isSteady(service: string): boolean;
  /** How many replicas receive a commit before it is acknowledged. */
  confirmationsOf(service: string): number;
}

/** A draining replica, and the end of its log if it is stopped. */
interface LeavingReplica {
  readonly member: Member;
  readonly key: string;
  readonly end: Position | undefined;
}

/** Stops the logs of draining replicas, during one leadership. */
export class LeavingReplicaControl {
  /** Services whose replicas are being reconciled. */
  private readonly running = new Set<string>();
  private readonly replicasByService = new Map<string, LeavingReplicas>();

  constructor(
    private readonly groups: ServiceGroups,
    private readonly access: LeavingReplicaAccess,
    private readonly requests: Pick<
      LeadershipRequests,
      'isLeadershipConfirmed'
    >,
    private readonly log: Log,
  ) {}

  /** Stops draining replicas while other replicas confirm commits. */
  reconcile(): void {
    const draining = this.groups.roster.all().filter(member => member.draining);
    for (const service of new Set(draining.map(member => member.service))) {
      if (this.running.has(service)) continue;
      this.running.add(service);
      detach(
        'control of leaving replicas',
        this.reconcileService(service).finally(() => {
          this.running.delete(service);
        }),
      );
    }
  }

  /** Whether a replica is stopped because it is draining. */
  isStopped(member: Member): boolean {
    return this.knownEnd(member) !== undefined;
  }

  /**
   * Stops the log of a member that is about to end, so that its end is known.
   * Undefined if it did not reply, or is the primary.
   */
  async stop(member: Member): Promise<Position | undefined> {
    const {groups} = this;
    const known = this.knownEnd(member);
    if (known) return known;
    return groups.monitors.stop(member, groups.membersOf(member.service));
  }

  private knownEnd(member: Member): Position | undefined {
    const {service} = member;
    const replicas = this.replicasOf(service);
    return replicas.endOf(this.keyOf(member), this.groups.epochOf(service));
  }

  private async reconcileService(service: string): Promise<void> {
    const {groups} = this;
    const assignment = groups.machine.assignmentOf(service);
    const primary = groups.assignedPrimary(service);
    if (!assignment || assignment.pending || !primary) return;
    const {epoch} = assignment;
    const replicas = groups.membersOf(service).filter(member => {
      return member.instance !== primary.instance;
    });
    const staying = replicas.filter(({draining}) => !draining);
    const leaving = replicas.filter(({draining}) => draining);
    const [primaryEnd, ...ends] = await Promise.all(
      [primary, ...staying].map(member => groups.monitors.readEnd(member)),
    );
    if (!(await this.mayCommand(service, epoch))) return;
    const known = leaving.map(member => {
      return {member, key: this.keyOf(member), end: this.knownEnd(member)};
    });
    const plan = this.replicasOf(service).plan({
      epoch,
      confirmations: this.access.confirmationsOf(service),
      primaryEnd,
      staying: ends,
      leaving: known.map(({key}) => key),
    });
    for (const replica of known) await this.carryOut(plan, replica, epoch);
  }

  /**
   * Whether replicas may be stopped or resumed now.
   *
   * Guard: only the leader of a majority may do so, and each command takes
   * time. A replica that the driver or the next leader has stopped, to compare
   * its log, would confirm commits that the promotion loses.
   */
  private async mayCommand(service: string, epoch: number): Promise<boolean> {
    if (!(await this.requests.isLeadershipConfirmed())) return false;
    const isCurrent = this.groups.epochOf(service) === epoch;
    return isCurrent && this.access.isSteady(service);
  }

  private async carryOut(
    plan: LeavingPlan,
    replica: LeavingReplica,
    epoch: number,
  ): Promise<void> {
    const {member, key, end} = replica;
    const isResumed = plan.resume.includes(key);
    if (!isResumed && !plan.stop.includes(key)) return;
    const {service} = member;
    if (!(await this.mayCommand(service, epoch))) {
      if (isResumed) this.countAsStopped(member, key, end);
    } else if (isResumed) await this.resumeReplica(replica);
    else await this.stopReplica(member, key, epoch);
  }

  private async resumeReplica({
    member,
    key,
    end,
  }: LeavingReplica): Promise<void> {
    const {service, instance} = member;
    const monitor = this.groups.monitors.of(member);
    const status = await monitor.sendCommand({kind: 'resume'});
    if (!status) return this.countAsStopped(member, key, end);
    this.log.info('Resumed a leaving replica.', {service, instance});
  }

  /** The plan counts a replica as resumed that was not. */
  private countAsStopped(
    {service}: Member,
    key: string,
    end: Position | undefined,
  ): void {
    if (end) this.replicasOf(service).onDidStop(key, end);
  }

  private async stopReplica(
    member: Member,
    key: string,
    epoch: number,
  ): Promise<void> {
    const {groups} = this;
    const {service, instance} = member;
    const end = await groups.monitors.stop(member, groups.membersOf(service));
    if (!end || groups.epochOf(service) !== epoch) return;
    this.replicasOf(service).onDidStop(key, end);
    const stoppedAt = formatPosition(end);
    this.log.info('Stopped a leaving replica.', {service, instance, stoppedAt});
  }

  /** A replica that restarts receives again, so its connection counts too. */
  private keyOf(member: Member): string {
    const {connectionNumber} = this.groups.monitors.of(member);
    return `${member.instance} ${member.born} ${connectionNumber}`;
  }

  private replicasOf(service: string): LeavingReplicas {
    const known = this.replicasByService.get(service);
    if (known) return known;
    const created = new LeavingReplicas();
    this.replicasByService.set(service, created);
    return created;
  }
}

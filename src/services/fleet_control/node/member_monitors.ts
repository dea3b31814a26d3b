import type {Clock} from '../../../base/common/clock';
import {createChildController} from '../../../base/node/timers';
import type {Member} from '../../../schema/generated/fleet';
import type {Position} from '../../position/common/position';
import {stopTermOf} from '../../promotion/common/stopped_replicas';
import {
  MemberMonitor,
  pingIntervalMs,
} from '../../promotion/node/member_monitor';
import type {StatusReader} from '../../target_link/common/member_status';
import type {TargetConnector} from '../../target_link/common/target_link';

/** Connects to members and reads their status. */
export interface MonitorAccess {
  readonly connector: TargetConnector;
  readonly reader: StatusReader;
}

interface MonitoredMember {
  readonly monitor: MemberMonitor;
  readonly address: string;
  end(): void;
}

/** One monitor for each member, during one leadership. */
export class MemberMonitors {
  private readonly monitored = new Map<string, MonitoredMember>();

  constructor(
    private readonly access: MonitorAccess,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {}

  /** The monitor of a member; a new one if its address has changed. */
  of(member: Member): MemberMonitor {
    const existing = this.monitored.get(member.instance);
    if (existing?.address === member.address) return existing.monitor;
    existing?.end();
    const {connector, reader} = this.access;
    const controller = createChildController(this.signal);
    const end = () => controller.abort();
    const monitor = new MemberMonitor(
      member,
      connector,
      reader,
      this.clock,
      controller.signal,
      () => pingIntervalMs(this.monitored.size),
    );
    const {address} = member;
    this.monitored.set(member.instance, {monitor, address, end});
    return monitor;
  }

  /** The monitor of an instance, if there is one. */
  get(instance: string): MemberMonitor | undefined {
    return this.monitored.get(instance)?.monitor;
  }

  /** Ends the monitors of all other instances. */
  keepOnly(instances: ReadonlySet<string>): void {
    for (const [instance, {end}] of this.monitored) {
      if (instances.has(instance)) continue;
      end();
      this.monitored.delete(instance);
    }
  }

  /** Requests the end of a member's log; undefined if it did not reply. */
  async readEnd(member: Member): Promise<Position | undefined> {
    const status = await this.of(member).sendCommand({kind: 'status'});
    return status?.receivedPosition;
  }

  /**
   * Makes a replica receive nothing more; the end of its log, or undefined if
   * it did not reply or is a primary.
   */
  async stop(
    member: Member,
    group: readonly Member[],
  ): Promise<Position | undefined> {
    const terms = [member, ...group].map(other => this.of(other).term);
    const term = stopTermOf('leaving', Math.max(...terms));
    const status = await this.of(member).sendCommand({kind: 'pause', term});
    return status?.isPrimary ? undefined : status?.receivedPosition;
  }
}

import type {Clock} from '../../base/common/clock';
import {serviceName} from '../../base/common/ids';
import {detach} from '../../base/node/broken_invariant';
import {createLog} from '../../base/node/log';
import type {TargetDirectory} from '../../services/announcement/common/target_directory';
import type {AnnouncementObserver} from '../../services/announcement/node/announcement_observer';
import type {ConsensusNode} from '../../services/consensus/node/consensus_node';
import type {ControlMachine} from '../../services/control_state/common/control_machine';
import {LeaseRegistry} from '../../services/lease/common/lease_registry';
import {
  planMembership,
  type Joiner,
} from '../../services/membership/common/membership_plan';
import type {Settings} from '../../services/settings/common/settings';
import {Phase} from '../../schema/generated/control';
import type {TargetStatus} from '../../schema/generated/announcement';
import {ControlLog} from './control_log';
import {FailoverDriver} from './failover_driver';
import {removalPurpose, ProxyAttachments} from './proxy_attachments';

/** A proxy that sends nothing for this long is removed from the log. */
const PROXY_EXPIRY_MS = 30_000;

/** What a leadership needs from the control instance. */
export interface LeadershipDependencies {
  readonly machine: ControlMachine;
  readonly directory: TargetDirectory;
  readonly observer: AnnouncementObserver;
  readonly node: ConsensusNode;
  readonly clock: Clock;
  settings(): Settings;
}

/** The work of a control instance for one term as consensus leader. */
export class Leadership {
  readonly leases: LeaseRegistry;
  readonly attachments: ProxyAttachments;
  readonly log: ControlLog;
  private readonly driver: FailoverDriver;
  private readonly joiners = new Map<string, Joiner>();
  private isChangingMembers = false;

  constructor(
    private readonly dependencies: LeadershipDependencies,
    private readonly becameLeaderAt: number,
  ) {
    const {system} = dependencies.settings();
    const logger = createLog('control');
    this.leases = new LeaseRegistry({
      silenceMs: system.silenceMs,
      unconfirmedMs: system.silenceMs * 2,
    });
    this.log = new ControlLog(dependencies.node);
    const shared = {...dependencies, leases: this.leases, log: this.log};
    this.driver = new FailoverDriver(shared, becameLeaderAt, logger);
    this.attachments = new ProxyAttachments(
      {
        ...shared,
        leaseMs: system.leaseMs,
        isClosed: record => this.driver.isClosed(record),
        onDidReceiveReport: () => this.drive(),
      },
      logger,
    );
  }

  /** Makes failover decisions and sends changes; on a timer and on updates. */
  drive(): void {
    if (!this.dependencies.node.isLeading) return;
    this.driver.drive();
    this.attachments.pushChanges();
  }

  /** Reconciles registered members, voters and proxies; less urgent. */
  reconcile(): void {
    if (!this.dependencies.node.isLeading) return;
    // Includes targets that announced themselves before this term.
    for (const {status} of this.dependencies.directory.all()) {
      this.onTargetStatus(status);
    }
    this.reconcileMembership();
    this.removeExpiredProxies();
  }

  /** Registers a target that the log does not have, or has otherwise. */
  onTargetStatus(status: TargetStatus): void {
    // Targets that announce themselves earlier are reconciled later.
    if (!this.dependencies.node.isLeading) return;
    const record = this.dependencies.machine.service(status.service);
    const member = record?.members.find(({instance}) => {
      return instance === status.instance;
    });
    if (!this.isConfigured(status)) return;
    const {service, instance, site, incarnation} = status;
    const isForming = record?.phase === Phase.PHASE_FORMING;
    const isKnown =
      member?.site === site &&
      (!isForming || member.incarnation === incarnation);
    if (isKnown) return;
    this.log.proposeOnce(`member ${service}/${instance}`, {
      $case: 'registerMember',
      value: {
        service,
        member: {instance, site, draining: false, incarnation},
      },
    });
  }

  onJoinRequest(joiner: Joiner): void {
    this.joiners.set(joiner.id, joiner);
  }

  /** Unblocks a change of primary; false for an unknown service. */
  force(service: string): boolean {
    return this.driver.force(service);
  }

  end(): void {
    this.attachments.endAll();
  }

  private isConfigured({service}: TargetStatus): boolean {
    return this.dependencies.settings().services.has(serviceName(service));
  }

  private reconcileMembership(): void {
    const {node, settings} = this.dependencies;
    const {core} = node;
    if (this.isChangingMembers || !core.isConfigurationCommitted) return;
    // An instance that still wants to join retries. A kept request of one that
    // is gone would bring its lost data folder back instead of the new one.
    const joiners = [...this.joiners.values()];
    this.joiners.clear();
    const nextConfiguration = planMembership({
      configuration: core.configuration,
      allowedInstances: new Set(
        settings().control.map(({instance}) => instance),
      ),
      joiners,
      commitIndex: core.commitIndex,
      matchIndexOf: id => core.matchIndexOf(id),
    });
    if (!nextConfiguration) return;
    this.isChangingMembers = true;
    detach(
      'change of the group',
      node.changeConfiguration(nextConfiguration).then(() => {
        this.isChangingMembers = false;
      }),
    );
  }

  private removeExpiredProxies(): void {
    const now = this.dependencies.clock.now();
    for (const proxy of this.dependencies.machine.state.proxies) {
      const lastSeenAt = Math.max(
        this.leases.lastHeardAt(proxy),
        this.becameLeaderAt,
      );
      if (now - lastSeenAt < PROXY_EXPIRY_MS) continue;
      this.leases.remove(proxy);
      this.log.proposeOnce(removalPurpose(proxy), {
        $case: 'forgetProxy',
        value: {proxy},
      });
    }
  }
}
